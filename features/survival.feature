Feature: Accepted declarations survive the loss of processes

  Scenario: The declaration survives the loss of the control instance
    Given the server "d1" of "die-ledger" is known
    When the control instance is killed
    Then a caller is still answered
    When the control instance is started again
    Then the version in force is 1
    When an operator applies a changed declaration
    Then the exit code is 0
    And the version in force is 2

  Scenario: A restarted entry becomes ready only with the version in force
    When the control instance is killed
    And the entry is restarted
    Then the entry is live but not ready
    When the control instance is started again
    Then the entry becomes ready with version 2
