Feature: Every fault at every step of an order
  An order is sent through instance 0 while the fault happens, and afterwards
  again with the same key through the other instances. The stand-in application
  doesn't check for duplicates: its ledger records how often each key ran.

  Scenario Outline: <fault> at <step>
    Given a platform with 3 instances
    And the fault "<fault>" waits for the step "<step>" of an order
    When an order is sent and then sent again through the other instances
    Then the order's fault has happened
    And no order ran twice
    And no order that was reported as not run ran
    And the order is eventually answered

    Examples: one fault
      | fault                | step   |
      | log answer lost      | before |
      | log answer lost      | claim  |
      | log answer lost      | done   |
      | log down for a while | before |
      | log down for a while | claim  |
      | log down for a while | send   |
      | log down for a while | done   |
      | log slow             | before |
      | log slow             | send   |
      | one target down      | before |
      | one target down      | claim  |
      | all targets down     | before |
      | all targets down     | claim  |
      | target answer lost   | before |
      | target answer lost   | claim  |
      | target slow          | before |
      | instance dies        | claim  |
      | instance dies        | send   |
      | instance dies        | done   |
      | owner dies           | before |
      | owner dies           | claim  |
      | owner dies           | send   |
      | owner dies           | done   |
      | links are cut        | before |
      | links are cut        | claim  |
      | links are cut        | send   |
      | instance joins       | claim  |
      | list is down         | before |
      | entry is edited      | claim  |
      | entry is edited      | send   |
      | records are repeated | claim  |
      | records are repeated | done   |
      | garbage on the log   | before |
      | garbage on the log   | send   |

    Examples: two faults
      | fault                                  | step   |
      | owner dies and log answer lost         | claim  |
      | links are cut and log answer lost      | before |
      | target answer lost and log slow        | before |
      | target answer lost and owner dies      | send   |
      | instance dies and log down for a while | send   |
      | one target down and owner dies         | claim  |
      | links are cut and target answer lost   | claim  |

  Scenario: No other instance runs an order while the holder of its claim is paused
    Given a platform with 3 instances
    And instance 0 pauses when its claim is on the log
    When an order is sent through instance 0 in the background
    And the same order is sent through instance 1
    Then the last reply has outcome "unknown"
    And no order ran
    When the paused instance resumes
    And the same order is sent through instance 1
    Then the order ran once

  Scenario: Without a look-up the outcome of a lost answer stays unknown
    Given a platform with 3 instances without a look-up
    And the fault "target answer lost" waits for the step "before" of an order
    When an order is sent and then sent again through the other instances
    Then every reply has outcome "unknown"
    And the order ran once

  Scenario: A key older than the window is refused and not run
    Given a platform with 3 instances
    When an order is sent with a key that is 2 days old
    Then the last reply has code "key_expired"
    And no order ran

  Scenario: A key from before the oldest kept record is refused
    Given a platform with 3 instances
    And the log no longer has the claims of the last hour
    When an order is sent with a key that is 1 hour old
    Then the last reply has code "key_expired"
    And no order ran
