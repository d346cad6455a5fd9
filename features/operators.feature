@size.2x1
@secured
Feature: Operators manage the system by declarations; unauthenticated access is refused

  Scenario: A change is applied from the command line
    When the operator runs "apply changed.toml"
    Then the command exits with code 0
    And the output contains "in force on all entries"

  Scenario: A change based on an older version is a conflict
    When the operator runs "apply changed.toml --base-version 1 --change-id late"
    Then the command exits with code 3
    And the output contains "conflict"

  Scenario: A change that is sent twice with the same id has one result
    When the operator runs "apply changed.toml --base-version 2 --change-id once"
    And the operator runs "apply changed.toml --base-version 2 --change-id once"
    Then the command exits with code 0
    And the output contains "version 3"

  Scenario: All problems of a declaration are reported at once
    When the operator runs "apply broken.toml"
    Then the command exits with code 2
    And the output contains "did you mean 'price'"
    And the output contains "max_queued_calls"

  Scenario: Entries that do not confirm a change are named
    When entry 1 is killed
    And the operator runs "apply changed.toml --wait-s 1"
    Then the command exits with code 4
    And the output contains "not confirmed by entry-1"
    And entry 1 is started again

  Scenario Outline: Read-only commands succeed and print their result
    When the operator runs "<command>"
    Then the command exits with code 0
    And the output contains "<text>"

    Examples:
      | command               | text          |
      | status                | entry-1       |
      | history               | once          |
      | plan changed.toml     | nothing       |
      | timeline              | config-in-force |
      | status --format json  | "version"     |
      | check changed.toml    | is good       |

  Scenario: The timeline shows which server answered a request
    Given a server of "die-ledger" announces itself with the token "die-ledger-token"
    When a caller sends GET /die-ledger/x
    Then the answer has status 200
    And the timeline of the request names the server
    And the timeline can be exported as a trace

  Scenario: Requests without a valid token are refused
    When a client without the token requests the status
    Then the answer has status 401
    When a server of "die-ledger" announces itself with the token "wrong"
    Then the announcement has status 401

  Scenario: Commands of unauthenticated clients on a link have no effect
    When an unauthenticated client sends a command to every instance
    Then the version in force is unchanged

  Scenario: A drained server receives no new calls
    Given a server of "die-ledger" announces itself with the token "die-ledger-token"
    When the operator runs "drain die-ledger announced"
    Then the command exits with code 0
    And no entry uses the announced server
