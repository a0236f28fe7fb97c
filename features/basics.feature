Feature: The complete path
  Callers reach engines and services through any instance.

  Background:
    Given a platform with 3 instances

  Scenario: A draft arrives complete
    When a caller asks for a draft
    Then every draft is complete
    And every layer ran once per token and in order

  Scenario: Drafts of several clients do not mix
    When 12 callers ask for drafts through all instances
    Then every draft is complete
    And every layer ran once per token and in order

  Scenario: An order is booked once and its answer is replayed
    When an order is sent through every instance with the same key
    Then every reply is the same
    And the order ran once

  Scenario: A key is refused for another body
    When an order is sent
    And its key is sent with another body
    Then the last reply has code "key_reused"
    And the order ran once

  Scenario: An order without a key is refused
    When an order is sent without a key
    Then the last reply has code "key_required"

  Scenario: An edit is in force on every instance
    When an operator lowers the maximum answer length to 5 tokens
    Then the edit is in force on 3 of 3 instances
    And a draft of 6 tokens is refused with "too_large" everywhere

  Scenario: A draining target gets no new work
    Given callers that ask for drafts all the time
    When target "draft-suva-b" is marked as draining in the catalogue
    Then no instance that knows this gives new work to "draft-suva-b"
    And every draft is complete

  Scenario: A planned stop interrupts no work
    Given 20 drafts and 3 orders in progress at instance 0
    When instance 0 is asked to stop
    Then instance 0 finishes its work
    And every draft is complete
    And every order was answered

  Scenario: When a caller disconnects, its engines stop
    Given a long draft in progress
    When its caller closes the connection
    Then no engine works on its draft any more
