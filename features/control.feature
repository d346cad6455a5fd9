@size.2x3
Feature: Accepted changes stay in force when control instances fail

  Scenario: Of two concurrent changes to the same version, one is accepted
    When two operators concurrently apply different changes to one version
    Then one change is in force and the other reports a conflict with it

  Scenario: A change that is resent to a new leader has its first result
    When an operator applies a change with id "c-77"
    And the leading control instance is killed
    And the operator applies the change with id "c-77" again
    Then both results name the same version
    And all control instances are running again

  Scenario: A suspended leader does not restore an old configuration
    When the leading control instance is suspended
    And an operator applies a change during the suspension
    And the suspended control instance resumes
    Then the newer version stays in force at every entry
    And the formerly suspended instance follows the new leader

  Scenario: Changes survive the loss of a second disk right after a repair
    When 20 changes are applied
    And a follower loses its disk and is started again
    And the replaced disk is reported as repaired
    And another control instance is killed and loses its disk
    Then all 20 changes are in the history
    And an operator can apply a change
    When that control instance is started with an empty disk
    Then the replaced disk is reported as repaired

  Scenario: The last version is in force after all processes were killed
    When 60 changes are applied
    And every process is killed and started again
    Then the last version is in force at all entries
