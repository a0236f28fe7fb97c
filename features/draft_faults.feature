Feature: Every fault at every step of a draft
  The checks read the stand-in engines' ledger and not the router's own reports.

  Background:
    Given a platform with 2 instances

  Scenario Outline: <fault> at <step>
    Given the fault "<fault>" waits for the step "<step>"
    When a caller asks for a draft
    Then the fault has happened
    And every draft is complete
    And every layer ran once per token and in order

    Examples: one fault
      | fault               | step        |
      | head dies           | plan        |
      | head dies           | prefill     |
      | head dies           | first token |
      | head dies           | mid-answer  |
      | head dies           | last token  |
      | last stage dies     | plan        |
      | last stage dies     | prefill     |
      | last stage dies     | first token |
      | last stage dies     | mid-answer  |
      | last stage dies     | last token  |
      | head stalls         | plan        |
      | head stalls         | prefill     |
      | head stalls         | first token |
      | head stalls         | mid-answer  |
      | head stalls         | last token  |
      | last stage stalls   | plan        |
      | last stage stalls   | prefill     |
      | last stage stalls   | first token |
      | last stage stalls   | mid-answer  |
      | last stage stalls   | last token  |
      | link is cut         | prefill     |
      | link is cut         | first token |
      | link is cut         | mid-answer  |
      | link is cut         | last token  |
      | link slows tenfold  | plan        |
      | link slows tenfold  | prefill     |
      | link slows tenfold  | first token |
      | link slows tenfold  | mid-answer  |
      | link slows tenfold  | last token  |
      | engine answers late | prefill     |
      | engine answers late | first token |
      | engine answers late | mid-answer  |
      | engine answers late | last token  |
      | stale tokens        | plan        |
      | stale tokens        | mid-answer  |
      | log is down         | plan        |
      | log is down         | mid-answer  |
      | log is slow         | plan        |
      | list is down        | plan        |
      | list is down        | mid-answer  |
      | instance dies       | prefill     |
      | instance dies       | first token |
      | instance dies       | mid-answer  |
      | instance dies       | last token  |
      | other instance dies | mid-answer  |
      | instance joins      | mid-answer  |
      | entry is edited     | mid-answer  |
      | target leaves       | prefill     |
      | target leaves       | mid-answer  |

    Examples: two faults
      | fault                               | step        |
      | both stages die                     | prefill     |
      | both stages die                     | first token |
      | both stages die                     | mid-answer  |
      | both stages die                     | last token  |
      | last stage dies and its replacement | prefill     |
      | last stage dies and its replacement | mid-answer  |
      | head dies and its replacement       | mid-answer  |
      | head stalls and last stage dies     | mid-answer  |
      | instance dies and last stage dies   | mid-answer  |
      | log is down and head dies           | first token |
      | stale tokens and last stage dies    | mid-answer  |
      | target leaves and other stage dies  | mid-answer  |

  Scenario: a replacement that dies before it has passed the same point
    Given the fault "last stage dies and its replacement at once" waits for the step "mid-answer"
    When a caller asks for a draft
    Then the draft is complete or refused as "poison_request"

  Scenario Outline: a request that crashes its engines, sent <way>
    Given engines that crash on the word "poison" and restart
    And other drafts that share the engines
    When a caller sends a poison request <way>
    Then it crashed at most 2 engines
    And the poison request is refused as "poison_request"
    And every draft is complete

    Examples:
      | way                          |
      | once                         |
      | 4 times to the same instance |
      | 4 times to instances in turn |

  Scenario: requests that differ but share the part that crashes engines
    Given engines that crash on the word "poison" and restart
    When a caller sends 8 different requests with that word
    Then it crashed at most 5 engines

  Scenario: such requests at instances in turn
    Given engines that crash on the word "poison" and restart
    When a caller sends 8 different requests with that word to instances in turn
    Then it crashed at most 5 engines

  Scenario: sound requests that share all other parts with them
    Given engines that crash on the word "poison" and restart
    When a caller sends 8 different requests with that word
    And the caller sends 8 requests with all of their words but that one
    Then every draft is complete
    And it crashed at most 5 engines

  Scenario: sound requests beside them
    Given engines that crash on the word "poison" and restart
    And other drafts that share the engines
    When a caller sends 8 different requests with that word to instances in turn
    And the caller sends 8 requests with all of their words but that one
    Then every draft is complete
    And it crashed at most 5 engines
