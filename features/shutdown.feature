@size.3x1
Feature: A graceful shutdown cuts no request in flight

  Background:
    Given 3 servers of "die-ledger" are known

  Scenario: A call in flight ends before its entry does
    When a call that takes 2500 ms is sent through entry 0
    And entry 0 is told to end
    Then the call is answered with status 200
    And entry 0 ends with code 0
    And entry 0 is started again

  Scenario: Calls on kept connections are not cut
    When callers keep 8 connections busy through a balancer that heeds readyz
    And entry 1 is told to end
    And entry 1 ends with code 0
    Then no call of the kept connections failed
    And entry 1 is started again
