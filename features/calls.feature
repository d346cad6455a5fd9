Feature: A caller receives the complete answer to its own request

  Background:
    Given the server "d1" of "die-ledger" is known

  Scenario: A call is answered by a server
    When a caller sends GET /die-ledger/dies/42
    Then the answer has status 200
    And the answer reports executed "yes"
    And the answer names the path "/dies/42"

  Scenario: A body of 8 MB is transferred in both directions
    When a caller posts 8000000 bytes to /die-ledger/scans?echo=1
    Then the answer has status 200
    And the answer body is the posted body

  Scenario: A chunked body of 8 MB is transferred in both directions
    When a caller posts 8000000 bytes in chunks to /die-ledger/scans?echo=1
    Then the answer has status 200
    And the answer body is the posted body

  Scenario: A truncated answer is not passed on
    When a caller sends POST /die-ledger/orders?cut=1
    Then the answer has status 502
    And the answer reports executed "unknown"

  Scenario: A call to an unknown service is refused
    When a caller sends GET /no-such-service/x
    Then the answer has status 404
    And the answer reports executed "no"

  Scenario: A call to a service without servers is refused with a retry-after time
    When a caller sends GET /order-desk/x
    Then the answer has status 503
    And the answer reports executed "no"
    And the answer has a retry-after time

  Scenario Outline: Answers to HEAD and answers with status 204 or 304 have no body
    When a caller sends <method> /die-ledger/x?status=<status>
    Then the answer has status <status>
    And the answer has no body

    Examples:
      | method | status |
      | HEAD   | 200    |
      | GET    | 204    |
      | GET    | 304    |

  Scenario Outline: Malformed or oversized requests are refused and the connection is closed
    When the raw request <request> is sent
    Then the raw answer has status <status>
    And the connection is closed

    Examples:
      | request            | status |
      | two-lengths        | 400    |
      | length-and-chunked | 400    |
      | folded-header      | 400    |
      | nul-in-header      | 400    |
      | too-many-headers   | 431    |
      | too-large          | 413    |
      | too-large-chunked  | 413    |
      | too-large-expect   | 413    |

  Scenario: Pipelined requests are answered in order
    When 5 pipelined requests are sent
    Then the raw answers arrive in order

  Scenario: The price list is public
    When a caller sends GET /prices
    Then the answer has status 200
    And the price list has the tiers "at-once, soon, patient"

  Scenario: A caller that can wait pays less
    When a caller that waits up to 300 ms sends GET /die-ledger/x
    Then the answer has the price 5
    When a caller that waits up to 8000 ms sends GET /die-ledger/x
    Then the answer has the price 1

  Scenario: A request with a wait that is not a number is refused
    When a caller with the header "Gentianwall-Max-Wait-Ms: soon" sends GET /die-ledger/x
    Then the answer has status 400

  Scenario: A request in a forwarding loop is refused
    When a request that has passed through the system 8 times is sent
    Then the answer has status 508

  Scenario: A caller cannot set internal headers
    When a caller with the header "Gentianwall-Deadline-Ms: 1" sends GET /die-ledger/x
    Then the server received a deadline above 1000 ms
