Feature: Requests reach a worker that can serve them

  Scenario: A leaving worker gets no new requests
    Given a rota board with 3 workers at each site
    When worker "site-n1-0" answers that it is leaving
    And 40 more requests are sent
    Then worker "site-n1-0" got none of them
    And every request was served at site "site-n1"

  Scenario: A full site passes requests on within the shift cap
    Given a rota board with 3 workers at each site
    And 6 slots at site "site-n1" for this host
    And a cap of 2 requests that may leave their site
    When 9 requests arrive and none has finished
    Then 6 requests run at site "site-n1"
    And 2 requests run at site "site-n2"
    And 1 request is refused as "overloaded"

  Scenario: A worker that died gets requests again after its return
    Given a rota board with 3 workers at each site
    When worker "site-n1-1" dies for 10 seconds
    Then at most 6 requests met the dead worker
    And worker "site-n1-1" serves requests again within 10 seconds
