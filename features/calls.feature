Feature: A caller gets the whole answer to its own request

  Background:
    Given the server "d1" of "die-ledger" is known

  Scenario: A call goes to a server and back
    When a caller sends GET /die-ledger/dies/42
    Then the answer has status 200
    And the answer says executed "yes"
    And the answer names the path "/dies/42"

  Scenario: Eight megabytes go both ways
    When a caller posts 8000000 bytes to /die-ledger/scans?echo=1
    Then the answer has status 200
    And the answer is what was posted

  Scenario: Eight megabytes go both ways in chunks
    When a caller posts 8000000 bytes in chunks to /die-ledger/scans?echo=1
    Then the answer has status 200
    And the answer is what was posted

  Scenario: An answer that is cut short is never passed on
    When a caller sends POST /die-ledger/orders?cut=1
    Then the answer has status 502
    And the answer says executed "unknown"

  Scenario: An unknown service is refused
    When a caller sends GET /no-such-service/x
    Then the answer has status 404
    And the answer says executed "no"

  Scenario: A service without servers says when to come back
    When a caller sends GET /order-desk/x
    Then the answer has status 503
    And the answer says executed "no"
    And the answer says when to come back

  Scenario Outline: Headers only
    When a caller sends <method> /die-ledger/x?status=<status>
    Then the answer has status <status>
    And the answer is empty

    Examples:
      | method | status |
      | HEAD   | 200    |
      | GET    | 204    |
      | GET    | 304    |

  Scenario Outline: Malformed requests are refused and the connection closed
    When the bytes are sent of <file>
    Then the raw answer has status <status>
    And the connection is closed

    Examples:
      | file               | status |
      | two-lengths        | 400    |
      | length-and-chunked | 400    |
      | folded-header      | 400    |
      | nul-in-header      | 400    |
      | header-bomb        | 431    |
      | too-large          | 413    |
      | too-large-chunked  | 413    |
      | too-large-expect   | 413    |

  Scenario: Pipelined requests are answered in order
    When pipelined are 5 requests
    Then the raw answers come in order

  Scenario: The price list is public
    When a caller sends GET /prices
    Then the answer has status 200
    And the price list has the tiers "at-once, soon, patient"

  Scenario: A caller that can wait pays less
    When a caller that waits 300 ms sends GET /die-ledger/x
    Then the answer costs 5
    When a caller that waits 8000 ms sends GET /die-ledger/x
    Then the answer costs 1

  Scenario: A wait that is no number is refused
    When a caller with the header "Gentianwall-Max-Wait-Ms: soon" sends GET /die-ledger/x
    Then the answer has status 400

  Scenario: A loop is refused
    When a request that came through 8 times is sent
    Then the answer has status 508

  Scenario: Inner headers cannot be smuggled in
    When a caller with the header "Gentianwall-Deadline-Ms: 1" sends GET /die-ledger/x
    Then the server saw a deadline above 1000 ms
