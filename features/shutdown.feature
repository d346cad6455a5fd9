@size.3x1
Feature: A graceful shutdown interrupts no outstanding request

  Background:
    Given 3 servers of "die-ledger" are known

  Scenario: An entry answers an outstanding call before it exits
    When a call that takes 2500 ms is sent through entry 0
    And entry 0 receives a termination signal
    Then the call is answered with status 200
    And entry 0 exits with code 0
    And entry 0 is started again

  Scenario: Calls on persistent connections do not fail when an entry shuts down
    When callers keep 8 connections busy behind a balancer that checks readyz
    And entry 1 receives a termination signal
    And entry 1 exits with code 0
    Then no call on the busy connections failed
    And entry 1 is started again
