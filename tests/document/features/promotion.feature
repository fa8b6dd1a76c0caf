Feature: Operators change the configuration of the fleet

  Scenario: Two operators promote at the same time
    Given a fleet with version 1 in force
    When anna and boris both replace version 1
    Then exactly one of them is told that version 2 is promoted
    And the other is told who promoted version 2

  Scenario: The answer to a promotion is lost
    Given a fleet with version 1 in force
    And the platform stops answering in the middle of the next promotion
    When anna replaces version 1
    Then anna is told to run promote again with the same attempt id
    When the platform answers again
    And anna runs promote again with the same attempt id
    Then anna is told that version 2 is promoted
    And version 2 was promoted only once

  Scenario: A key is withdrawn
    Given a fleet with version 1 in force
    And a caller whose spare key works on every host
    When anna promotes a document without the spare key
    Then the spare key is refused on every host after the next poll
    And the other keys still work

  Scenario: A site is taken out of service
    Given a fleet with version 1 in force
    When anna promotes a document without site tb2
    Then anna is told that tb2 was removed without a drain before
    When anna promotes a document that drains tb2
    And anna promotes a document without site tb2
    Then version 3 is in force without site tb2
