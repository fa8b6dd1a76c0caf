Feature: What operators rely on

  Scenario: A withdrawn key stops on an open connection
    When the trace "key-withdrawn" is replayed
    Then everything ends as the trace says

  Scenario: An upstream that leaves the host list gets no new work
    When the trace "drain-by-host-list" is replayed
    Then everything ends as the trace says

  Scenario: An upstream drained by the document gets no new work
    When the trace "drain-by-document" is replayed
    Then everything ends as the trace says

  Scenario: An upstream that announces its drain gets no new work
    When the trace "drain-by-answer" is replayed
    Then everything ends as the trace says

  Scenario: Retries add at most a tenth of load while a site sheds
    When the trace "site-sheds" is replayed
    Then everything ends as the trace says

  Scenario: A stalled process retries no more while a site sheds
    When the trace "site-sheds-after-stall" is replayed
    Then everything ends as the trace says

  Scenario: Writes wait for a confirmed version, reads do not
    When the trace "unconfirmed-version" is replayed
    Then everything ends as the trace says
