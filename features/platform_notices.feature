Feature: Targets that drain or ask for a backoff, and requests that crash them
  The checks read the stand-ins' ledgers and not the gateway's own reports.

  Scenario Outline: <count> of 3 services drain, calls by <method>, the store <store>
    Given a prepared platform with 3 services
    And a gateway instance
    And <count> services signal that they are draining
    And the store "<store>"
    When a caller sends 12 calls by <method>
    Then no service got a request after it signalled that it is draining
    And with <count> of 3 services draining, calls fail only if none is left

    Examples:
      | count | method | store          |
      | 1     | GET    | answers        |
      | 2     | GET    | answers        |
      | 3     | GET    | answers        |
      | 1     | POST   | answers        |
      | 2     | POST   | answers        |
      | 3     | POST   | answers        |
      | 1     | GET    | is unavailable |
      | 3     | GET    | is unavailable |
      | 1     | POST   | is unavailable |
      | 3     | POST   | is unavailable |

  Scenario Outline: <count> of 3 services ask for a backoff, calls by <method>, the store <store>
    Given a prepared platform with 3 services
    And a gateway instance
    And <count> services ask for a backoff of 60 s
    And the store "<store>"
    When a caller sends 12 calls by <method>
    Then each of these services got one request at most
    And with <count> of 3 services in backoff, calls fail only if none is left
    And a refusal gives the remaining backoff

    Examples:
      | count | method | store          |
      | 1     | GET    | answers        |
      | 2     | GET    | answers        |
      | 3     | GET    | answers        |
      | 1     | POST   | answers        |
      | 2     | POST   | answers        |
      | 3     | POST   | answers        |
      | 2     | GET    | is unavailable |
      | 2     | POST   | is unavailable |

  Scenario Outline: head engines signal <signal>, the store <store>
    Given a prepared platform with 8 engines
    And a gateway instance
    And all but one head engine signal "<signal>"
    And the store "<store>"
    When a caller asks for 6 streams in turn
    Then all streams are complete
    And each of these engines got one request at most

    Examples:
      | signal   | store          |
      | draining | answers        |
      | draining | is unavailable |
      | backoff  | answers        |
      | backoff  | is unavailable |

  Scenario Outline: a call by <method> crashes its services, the store <store>
    Given a prepared platform with 3 services
    And 2 gateway instances
    And the services crash and restart when they run a call
    And the store "<store>"
    When a caller sends the same call by <method> 4 times to each
    Then no more than 3 attempts followed the third crash
    And the call is refused from then on

    Examples:
      | method | store   |
      | GET    | answers |
      | POST   | answers |
