Feature: Every fault at every step of an edit, a lease, a join and a stop

  Scenario Outline: an edit while <fault>
    Given a platform with 3 instances
    And the condition "<fault>"
    When an operator edits the entry through instance 1
    And the condition ends
    Then the edit is decided the same on every instance
    And an accepted edit is in force on every instance
    And every instance holds the same catalogue

    Examples: one fault
      | fault                          |
      | nothing is wrong               |
      | the log loses an answer        |
      | the log is slow                |
      | the log is down for a while    |
      | the list is down               |
      | the links are cut              |
      | another operator races         |
      | garbage is on the log          |
      | an old snapshot is on the log  |
      | a forged snapshot is on the log |
      | an instance dies               |
      | an instance joins              |

    Examples: two faults
      | fault                                                |
      | the log loses an answer and another operator races   |
      | the log is down for a while and the links are cut    |
      | an instance dies and the log loses an answer         |
      | another operator races and garbage is on the log     |

  Scenario: The log is down for all but one instance
    Given a platform with 3 instances
    And the log answers instance 1 only
    When an operator edits the entry through instance 1
    Then an accepted edit is in force on every instance

  Scenario Outline: a new instance when <case>
    Given a platform with 2 instances
    And the catalogue was edited 5 times
    And the join case "<case>"
    When a new instance starts
    Then the new instance becomes ready with the same catalogue

    Examples:
      | case                                          |
      | the log is whole                              |
      | the log is slow                               |
      | the log is down and peers answer              |
      | old records are gone and a snapshot is kept   |
      | a stale and a fresh snapshot are kept         |
      | old records are gone and only peers have them |
      | all instances are replaced at once            |

  Scenario: A new instance without log and peers is not ready
    Given a platform with 1 instances
    And the log is down and the peers are gone
    When a new instance starts
    Then the new instance is not ready

  Scenario Outline: a lease while <fault>, engines that <kind> old orders
    Given a platform with 3 instances whose engines <kind> old orders
    And an order for the version of an engine
    When the fault "<fault>" meets the holder of the lease
    Then the engine reaches the newest ordered version
    And no two instances hold the lease for the same fencing number

    Examples:
      | fault                           | kind   |
      | nothing happens                 | refuse |
      | the holder dies                 | refuse |
      | the holder dies                 | ignore |
      | the holder gives an order late  | refuse |
      | the holder gives an order late  | ignore |
      | the log loses an answer         | refuse |
      | the log is down for a while     | refuse |
      | the entry is edited             | ignore |

  Scenario: Without the log no order is given and drafts go on
    Given a platform with 2 instances
    And the log is down
    And an order for the version of an engine is due
    When a caller asks for a draft
    Then every draft is whole
    And the engine was given no order

  Scenario: Loads keep to the weight store's rate
    Given a platform with 2 instances and a slow weight store
    And orders to load weights on every engine
    Then the store refuses no load and every engine is loaded

  Scenario Outline: a planned stop while <fault>
    Given a platform with 3 instances
    And 6 drafts and 2 orders in progress at instance 0
    And the condition "<fault>"
    When instance 0 is asked to stop
    Then instance 0 finishes its work
    And every draft is whole
    And every order was answered
    And no order ran twice

    Examples:
      | fault                       |
      | nothing is wrong            |
      | the log is slow             |
      | the log is down for a while |
      | the list is down            |
      | the links are cut           |
      | an instance dies            |
      | an instance joins           |
      | an engine dies              |

  Scenario Outline: a target leaves, said by <source> only
    Given a platform with 3 instances
    And callers that ask for drafts all the time
    When <source> says that target "draft-suva-b" leaves
    Then no instance that knows gives new work to "draft-suva-b"
    And every draft is whole

    Examples:
      | source       |
      | the list     |
      | the engine   |

  Scenario: A restarted instance under the same name is taken back
    Given a platform with 3 instances
    When instance 2 dies and starts again under its name
    Then every instance knows 3 live instances
