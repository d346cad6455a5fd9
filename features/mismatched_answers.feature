@size.1x1
Feature: No caller receives the answer to another caller's request

  Scenario: A late unsolicited answer without a request id is not passed on
    Given a server of "order-desk" whose answers are late
    When 20 callers request distinct paths, one after the other
    Then every answer that was passed on names the requested path

  Scenario: Every caller receives its answer when unnamed connections are not reused
    Given a server of "scan-vault" whose answers are late
    When 20 callers request distinct paths, one after the other
    Then every answer that was passed on names the requested path
    And at least 20 answers were passed on

  Scenario Outline: Unsolicited and mismatched answers are dropped
    Given a server of "order-desk" whose answers are <manner>
    When 20 callers request distinct paths, one after the other
    Then every answer that was passed on names the requested path
    And at least <minimum> answers were passed on

    Examples:
      | manner      | minimum |
      | good        | 20      |
      | glued       | 20      |
      | late, named | 18      |
      | foreign     | 0       |

  Scenario: An answer with another request's id is not passed on
    Given a server of "order-desk" whose answers are foreign
    When 5 callers request distinct paths, one after the other
    Then no answer was passed on
