@size.1x1
Feature: Nobody receives the answer to another's request

  Scenario: A late second answer of a server that names no request
    Given a server of "order-desk" whose answers are late
    When 20 callers ask for paths of their own, one after the other
    Then every answer that was passed on names the path that was asked for

  Scenario: The same where such connections are not used again
    Given a server of "scan-vault" whose answers are late
    When 20 callers ask for paths of their own, one after the other
    Then every answer that was passed on names the path that was asked for
    And at least 20 answers were passed on

  Scenario Outline: Answers that arrive crossed are dropped
    Given a server of "order-desk" whose answers are <manner>
    When 20 callers ask for paths of their own, one after the other
    Then every answer that was passed on names the path that was asked for
    And at least <least> answers were passed on

    Examples:
      | manner      | least |
      | good        | 20    |
      | glued       | 20    |
      | late, named | 18    |
      | foreign     | 0     |

  Scenario: An answer under another request's id is not passed on
    Given a server of "order-desk" whose answers are foreign
    When 5 callers ask for paths of their own, one after the other
    Then no answer was passed on
