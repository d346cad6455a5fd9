@size.3x3
Feature: An order that must not be repeated is executed at most once

  Background:
    Given 3 servers of "order-desk" are known

  Scenario: A resend through another entry receives the first answer
    When an order with key "k1" is sent through entry 0
    Then the order is answered with status 200 and executed "yes"
    When an order with key "k1" is sent through entry 1
    Then the order is answered with status 200 and executed "yes"
    And both answers name the same server
    And the order with key "k1" was executed 1 times

  Scenario: A key that was used for another order is refused
    When an order with key "k2" is sent through entry 0
    And another order with key "k2" is sent through entry 1
    Then the order is answered with status 422 and executed "no"
    And the order with key "k2" was executed 1 times

  Scenario: An order is not executed again after its entry was killed
    When an order with key "k3" that takes 800 ms is sent through entry 0
    And entry 0 is killed after 400 ms
    And an order with key "k3" that takes 800 ms is sent through entry 1
    Then the order is answered with status 409 and executed "unknown"
    And the order with key "k3" was executed 1 times
    And entry 0 is started again

  Scenario: An order is not executed again after its server crashed
    When an order with key "k4" that crashes "order-desk-0" is sent until it fails
    Then the order is answered with status 502 and executed "unknown"
    And a resend is answered with status 409 and executed "unknown"
    And the failed order was executed 1 times

  Scenario: A resend receives the first answer after the leader was killed
    When an order with key "k5" is sent through entry 0
    And the leading control instance is killed
    And an order with key "k5" is sent through entry 2
    Then the order is answered with status 200 and executed "yes"
    And the order with key "k5" was executed 1 times
    And all control instances are running again

  Scenario: Concurrent resends are not executed again while the leader is killed
    When 12 orders with distinct keys are each sent 4 times concurrently
    Then no order was executed more than once
    And every order that was answered with status 200 was executed once
    And all control instances are running again

  Scenario: Without a quorum an order is refused and not executed
    When two control instances are killed
    And an order with key "k6" is sent through entry 1
    Then the order is answered with status 503 and executed "no"
    And the order with key "k6" was executed 0 times
    And all control instances are running again
