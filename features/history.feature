@size.2x3
@relays
Feature: Concurrent operators see one register, whatever fails

  Scenario: Operators and readers while leaders die, freeze and fall silent
    When 4 operators and 2 readers work for 12 seconds while leaders fail
    Then the history is linearizable
    And at least 20 changes were accepted
    And every accepted change stands in the history of the system once
