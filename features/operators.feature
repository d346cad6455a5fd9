@size.2x1
@secured
Feature: Operators run the system by declarations, and others are kept out

  Scenario: A change is applied by the command line
    When the operator runs "apply changed.toml"
    Then the command ends with 0
    And it prints "in force on all entries"

  Scenario: A change for an older version is a conflict
    When the operator runs "apply changed.toml --base-version 1 --change-id late"
    Then the command ends with 3
    And it prints "conflict"

  Scenario: The same change sent twice has one result
    When the operator runs "apply changed.toml --base-version 2 --change-id once"
    And the operator runs "apply changed.toml --base-version 2 --change-id once"
    Then the command ends with 0
    And it prints "version 3"

  Scenario: All problems are shown at once
    When the operator runs "apply broken.toml"
    Then the command ends with 2
    And it prints "did you mean 'price'"
    And it prints "max_queued_calls"

  Scenario: Entries that cannot confirm are named
    When entry 1 is killed
    And the operator runs "apply changed.toml --wait-s 1"
    Then the command ends with 4
    And it prints "not confirmed by entry-1"
    And entry 1 is started again

  Scenario Outline: What operators look at
    When the operator runs "<command>"
    Then the command ends with 0
    And it prints "<words>"

    Examples:
      | command               | words         |
      | status                | entry-1       |
      | history               | once          |
      | plan changed.toml     | nothing       |
      | timeline              | config-in-force |
      | status --format json  | "version"     |
      | check changed.toml    | is good       |

  Scenario: A request can be followed over the time line
    Given a server of "die-ledger" announces itself with the token "die-ledger-token"
    When a caller sends GET /die-ledger/x
    Then the answer has status 200
    And the time line of the request names the server
    And the time line can be written as a trace

  Scenario: Without the token there is no way in
    When someone without the token asks for the status
    Then the answer has status 401
    When a server of "die-ledger" announces itself with the token "wrong"
    Then the announcement has status 401

  Scenario: Strangers on a link are not heard
    When a stranger sends a command to every instance
    Then the version in force is unchanged

  Scenario: A drained server gets no new work
    Given a server of "die-ledger" announces itself with the token "die-ledger-token"
    When the operator runs "drain die-ledger announced"
    Then the command ends with 0
    And no entry uses the announced server
