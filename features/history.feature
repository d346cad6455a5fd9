@size.2x3
@relays
Feature: Concurrent changes stay linearizable while control instances fail

  Scenario: The history is linearizable while leaders are killed, suspended and silenced
    When 4 operators and 2 readers work for 12 seconds while leaders fail
    Then the history is linearizable
    And at least 20 changes were accepted
    And the configuration history agrees with every accepted change
