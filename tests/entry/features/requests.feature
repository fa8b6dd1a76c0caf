Feature: What callers rely on

  Scenario: An instalment sent twice is taken once
    When the trace "instalment-twice" is replayed
    Then everything ends as the trace says

  Scenario: An instalment sent twice at once is taken once
    When the trace "instalment-twice-at-once" is replayed
    Then everything ends as the trace says

  Scenario: An idempotency key is not used for another instalment
    When the trace "instalment-changed" is replayed
    Then everything ends as the trace says

  Scenario: An instalment whose outcome is unknown is not taken again
    When the trace "instalment-silent-upstream" is replayed
    Then everything ends as the trace says

  Scenario: A read is served while an upstream dies
    When the trace "read-while-upstream-dies" is replayed
    Then everything ends as the trace says

  Scenario: A write that reached no upstream goes to another one
    When the trace "write-while-upstream-is-dead" is replayed
    Then everything ends as the trace says

  Scenario: Reads go to another region when a site is lost
    When the trace "site-lost" is replayed
    Then everything ends as the trace says
