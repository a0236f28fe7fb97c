Feature: Targets that leave or want no requests, and requests that crash them
  The ledgers of services and engines decide, not the gateway's word.

  Scenario Outline: <count> of 3 services leave, calls by <method>, the store <store>
    Given a prepared platform with 3 services
    And a gateway instance
    And <count> services say that they leave
    And the store "<store>"
    When a caller sends 12 calls by <method>
    Then no service got a request after it had said that it leaves
    And calls fail only if all 3 of the <count> services leave

    Examples:
      | count | method | store     |
      | 1     | GET    | answers   |
      | 2     | GET    | answers   |
      | 3     | GET    | answers   |
      | 1     | POST   | answers   |
      | 2     | POST   | answers   |
      | 3     | POST   | answers   |
      | 1     | GET    | is away   |
      | 3     | GET    | is away   |
      | 1     | POST   | is away   |
      | 3     | POST   | is away   |

  Scenario Outline: <count> of 3 services want no requests, calls by <method>, the store <store>
    Given a prepared platform with 3 services
    And a gateway instance
    And <count> services want no requests for 60 s
    And the store "<store>"
    When a caller sends 12 calls by <method>
    Then each of these services got one request at most
    And calls fail only if all 3 of the <count> services want none
    And a refusal says truthfully when to come back

    Examples:
      | count | method | store     |
      | 1     | GET    | answers   |
      | 2     | GET    | answers   |
      | 3     | GET    | answers   |
      | 1     | POST   | answers   |
      | 2     | POST   | answers   |
      | 3     | POST   | answers   |
      | 2     | GET    | is away   |
      | 2     | POST   | is away   |

  Scenario Outline: first engines <notice>, the store <store>
    Given a prepared platform with 8 engines
    And a gateway instance
    And all but one first engine "<notice>"
    And the store "<store>"
    When a caller asks for 6 streams in turn
    Then all streams are whole
    And each of these engines got one request at most

    Examples:
      | notice          | store   |
      | leave           | answers |
      | leave           | is away |
      | want no request | answers |
      | want no request | is away |

  Scenario Outline: a call by <method> crashes its services, the store <store>
    Given a prepared platform with 3 services
    And 2 gateway instances
    And the services crash and restart when they run a call
    And the store "<store>"
    When a caller sends the same call by <method> 4 times to each
    Then no more than 3 sends followed the third crash
    And the call is refused from then on

    Examples:
      | method | store   |
      | GET    | answers |
      | POST   | answers |
