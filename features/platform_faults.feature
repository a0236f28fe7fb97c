Feature: Faults on the prepared platform
  The checks read the stand-ins' ledgers and not the gateway's own reports.

  Scenario Outline: an order whose service <fault>
    Given a prepared platform with 2 services that "<fault>"
    And a gateway instance
    When a caller places 3 orders
    Then no order ran more than once
    And no order that ran was reported as not run
    And every success is the complete answer of the service that ran it

    Examples:
      | fault           |
      | refuse          |
      | fail            |
      | reset_after_run |
      | cut_body        |
      | hang            |
      | garbage         |
      | extra_answer    |
      | misdirected     |

  Scenario Outline: a view where one of two services <fault>
    Given a prepared platform with 2 services
    And the first service "<fault>"
    And a gateway instance
    When a caller asks for 6 views
    Then every view gets a complete answer

    Examples:
      | fault           |
      | refuse          |
      | fail            |
      | reset_after_run |
      | cut_body        |
      | hang            |
      | garbage         |
      | extra_answer    |
      | misdirected     |

  Scenario Outline: a stream where <fault> at event <event>
    Given a prepared platform with 12 engines
    And a gateway instance
    And "<fault>" waits for event <event>
    When a caller asks for a stream
    Then the stream is complete
    And every layer ran once and in order for each event

    Examples:
      | fault                          | event |
      | head resets                    | 1     |
      | head resets                    | 12    |
      | head resets                    | 29    |
      | head truncates an event        | 1     |
      | head truncates an event        | 12    |
      | head truncates an event        | 29    |
      | stage becomes unresponsive     | 1     |
      | stage becomes unresponsive     | 12    |
      | stage becomes unresponsive     | 29    |
      | two stages become unresponsive | 1     |
      | two stages become unresponsive | 12    |
      | two stages become unresponsive | 29    |
      | all but one head die           | 12    |

  Scenario Outline: revoking a key while <fault>
    Given a prepared platform with 2 services
    And a gateway instance
    When "<fault>"
    And the operator revokes the key
    Then the key is refused on time and no later call runs

    Examples:
      | fault                        |
      | nothing is wrong             |
      | the store refuses every call |
      | the store resets every call  |
      | the store loses its records  |
      | a manifest cannot be read    |
      | a lower version is published |

  Scenario Outline: placing layers while <fault>
    Given a prepared platform with 6 engines
    And 2 gateway instances
    When "<fault>" happens to the placement
    Then every layer is held again
    And no engine holds more layers than fit

    Examples:
      | fault                                |
      | a command's response is lost         |
      | an engine restarts empty             |
      | the placement controller ends        |
      | the store is unavailable for a while |

  Scenario Outline: a start while <fault>
    Given a prepared platform with 2 services
    When "<fault>" and an instance starts
    Then it serves as soon as the fault has passed

    Examples:
      | fault                   |
      | the store refuses calls |
      | the store resets calls  |
      | entries cannot be read  |

  Scenario Outline: a planned stop during <work>
    Given a prepared platform with 6 engines and 2 services
    And a gateway instance
    And "<work>" in progress
    When the instance is asked to stop
    Then the work completes
    And the instance stops in time

    Examples:
      | work      |
      | a stream  |
      | an order  |
      | 5 streams |
