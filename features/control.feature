@size.2x3
Feature: Accepted changes stay in force, whatever befalls the control instances

  Scenario: Two operators change the same version at once
    When two operators apply different changes to the present version at once
    Then one change is in force and the other names it as the winner

  Scenario: A resend after a change of leader gets the first result
    When an operator applies a change with id "c-77"
    And the leading control instance is killed
    And the operator applies the change with id "c-77" again
    Then both results are the same version
    And all control instances are running again

  Scenario: A frozen leader cannot bring back an old configuration
    When the leading control instance is frozen
    And an operator applies a change through the others
    And the frozen control instance goes on
    Then every entry still holds the newer version
    And the instance that was frozen follows the new leader

  Scenario: A second disk is lost right after the first was repaired
    When 20 changes are applied
    And a following control instance loses its disk and is started again
    And it is reported as repaired
    And another control instance loses its disk for good
    Then all 20 changes are in the history
    And an operator can apply a change
    When the lost one is started with an empty disk
    Then it is reported as repaired

  Scenario: Everything restarts at once after many changes
    When 60 changes are applied
    And every process is killed and started again
    Then the entries hold the last version
