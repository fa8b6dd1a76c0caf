Feature: An instalment is taken once
  A caller sends an instalment with an idempotency key and may send it again
  when it is not sure whether it was taken.

  Scenario: An instalment sent twice is taken once
    Given two entry hosts
    When the caller sends instalment 7 to host a
    And the caller sends instalment 7 to host b
    Then instalment 7 was taken 1 time
    And both answers are the same

  Scenario: A host that fails in the middle leaves the outcome unknown
    Given two entry hosts
    When host a fails while it takes instalment 7
    And the caller sends instalment 7 to host b
    Then instalment 7 was taken 1 time
    And the last answer says that the outcome is unknown

  Scenario: Without the platform nothing is taken, and later once
    Given two entry hosts
    When the platform is out
    And the caller sends instalment 7 to host a
    Then the last answer says that the instalment was not taken
    When the platform is back
    And the caller sends instalment 7 to host b
    Then instalment 7 was taken 1 time
