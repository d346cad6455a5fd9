@size.2x3
@relays
Feature: Silent links between instances are replaced

  Scenario: Changes are confirmed after every link went silent
    When every link between instances goes silent
    And an operator applies a changed declaration
    Then the exit code is 0

  Scenario: Claims are decided after every link went silent
    Given 3 servers of "order-desk" are known
    When an order with key "s1" is sent through entry 0
    Then the order is answered with status 200 and executed "yes"
    When every link between instances goes silent
    And an order with key "s1" is sent through entry 1 until its outcome is known
    Then the order is answered with status 200 and executed "yes"
    And the order with key "s1" was executed 1 times
