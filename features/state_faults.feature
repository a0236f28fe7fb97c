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
      | fault                           |
      | nothing is wrong                |
      | the log loses an answer         |
      | the log is slow                 |
      | the log is down for a while     |
      | the list is down                |
      | the links are cut               |
      | another operator races          |
      | garbage is on the log           |
      | an old snapshot is on the log   |
      | a forged snapshot is on the log |
      | an instance dies                |
      | an instance joins               |

    Examples: two faults
      | fault                                              |
      | the log loses an answer and another operator races |
      | the log is down for a while and the links are cut  |
      | an instance dies and the log loses an answer       |
      | another operator races and garbage is on the log   |

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
      | the log is complete                           |
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

  Scenario Outline: a lease while <fault>, engines that <kind> stale commands
    Given a platform with 3 instances whose engines <kind> stale commands
    And an engine order for a version
    When the fault "<fault>" hits the lease holder
    Then the engine reaches the newest ordered version
    And no two instances hold the lease for the same fencing number

    Examples:
      | fault                           | kind   |
      | nothing happens                 | refuse |
      | the holder dies                 | refuse |
      | the holder dies                 | ignore |
      | the holder sends a command late | refuse |
      | the holder sends a command late | ignore |
      | the log loses an answer         | refuse |
      | the log is down for a while     | refuse |
      | the entry is edited             | ignore |

  Scenario: Without the log no command is sent and drafts go on
    Given a platform with 2 instances
    And the log is down
    And an engine order for a version is due
    When a caller asks for a draft
    Then every draft is complete
    And the engine was sent no command

  Scenario: Loads stay within the weight store's rate limit
    Given a platform with 2 instances and a slow weight store
    And engine orders to load weights on every engine
    Then the store refuses no load and every engine is loaded

  Scenario Outline: a planned stop while <fault>
    Given a platform with 3 instances
    And 6 drafts and 2 orders in progress at instance 0
    And the condition "<fault>"
    When instance 0 is asked to stop
    Then instance 0 finishes its work
    And every draft is complete
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

  Scenario Outline: a target drains, reported by <source> only
    Given a platform with 3 instances
    And callers that ask for drafts all the time
    When <source> reports that target "draft-suva-b" is draining
    Then no instance that knows this gives new work to "draft-suva-b"
    And every draft is complete

    Examples:
      | source     |
      | the list   |
      | the engine |

  Scenario: A restarted instance under the same name is accepted again
    Given a platform with 3 instances
    When instance 2 dies and starts again under its name
    Then every instance knows 3 live instances
