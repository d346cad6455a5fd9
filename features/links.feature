@size.2x3
@relays
Feature: Links between instances that go silent are replaced

  Scenario: Changes are confirmed after every link went silent
    When every link between instances goes silent
    And an operator applies a changed declaration
    Then the exit code is 0

  Scenario: Claims go on after every link went silent
    Given 3 servers of "order-desk" are known
    When an order with key "s1" is sent through entry 0
    Then the order has status 200 and executed "yes"
    When every link between instances goes silent
    And an order with key "s1" is sent through entry 1 until it is decided
    Then the order has status 200 and executed "yes"
    And key "s1" ran 1 times
