@size.3x3
Feature: An order that may not be repeated runs at most once

  Background:
    Given 3 servers of "order-desk" are known

  Scenario: A resend through another entry gets the first answer
    When an order with key "k1" is sent through entry 0
    Then the order has status 200 and executed "yes"
    When an order with key "k1" is sent through entry 1
    Then the order has status 200 and executed "yes"
    And the same server is named in both answers
    And key "k1" ran 1 times

  Scenario: The key of another order is refused
    When an order with key "k2" is sent through entry 0
    And another order with key "k2" is sent through entry 1
    Then the order has status 422 and executed "no"
    And key "k2" ran 1 times

  Scenario: The entry dies while the order runs
    When an order with key "k3" that takes 800 ms is sent through entry 0
    And entry 0 is killed after 400 ms
    And an order with key "k3" that takes 800 ms is sent through entry 1
    Then the order has status 409 and executed "unknown"
    And key "k3" ran 1 times
    And entry 0 is started again

  Scenario: The server dies while the order runs
    When an order with key "k4" that crashes "order-desk-0" is sent until it is met
    Then the order has status 502 and executed "unknown"
    And a resend of it has status 409 and executed "unknown"
    And its key ran 1 times

  Scenario: The leader is killed between order and resend
    When an order with key "k5" is sent through entry 0
    And the leading control instance is killed
    And an order with key "k5" is sent through entry 2
    Then the order has status 200 and executed "yes"
    And key "k5" ran 1 times
    And all control instances are running again

  Scenario: Resends race through all entries while the leader is killed
    When 12 orders with keys of their own are each sent 4 times at once
    Then no key ran more than once
    And every key that was answered with status 200 ran once
    And all control instances are running again

  Scenario: Without a quorum an order is refused and not run
    When two control instances are killed
    And an order with key "k6" is sent through entry 1
    Then the order has status 503 and executed "no"
    And key "k6" ran 0 times
    And all control instances are running again
