Feature: Limits of client accounts hold across the fleet
  An organisation gives each client account a rate and a burst. They hold for
  all entry hosts together, wherever the account's requests arrive.

  Scenario: A client account uses its whole rate at one entry host
    Given a client account with 70 requests per second and a burst of 35
    When it sends 60 requests per second to one entry host for 20 seconds
    Then at least 99 of 100 requests are served
    And it never gets more than its rate and burst

  Scenario: A client account that sends too much gets its rate and no more
    Given a client account with 70 requests per second and a burst of 35
    When it sends 300 requests per second to all entry hosts for 10 seconds
    Then it is served at 70 requests per second, within 5 of 100
    And it never gets more than its rate and burst

  Scenario: An entry host that is cut off serves what it owns
    Given a client account with 70 requests per second and a burst of 35
    And one entry host is cut off from all others
    When it sends 60 requests per second to one entry host for 20 seconds
    Then it is served at 10 requests per second, within 5 of 100
    And it never gets more than its rate and burst
