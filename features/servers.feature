@size.3x1
Feature: Servers register and deregister without a configured list

  Scenario: A server that is registered at one entry is known to all entries
    Given 3 servers of "die-ledger" are known
    Then 30 calls through all entries are answered

  Scenario: A server that is shut down receives no new calls
    Given 3 servers of "die-ledger" are known
    When the server "die-ledger-1" receives a termination signal
    Then all entries know 2 servers of "die-ledger"
    And 30 calls through all entries are answered

  Scenario: A crashed server is removed when its lease expires
    Given 3 servers of "die-ledger" are known
    When the server "die-ledger-2" is killed
    Then 30 calls through all entries are answered
    And all entries know 2 servers of "die-ledger"

  Scenario: A server that restarts at a new address receives calls there
    Given 3 servers of "die-ledger" are known
    When the server "die-ledger-0" is killed and restarted on another port
    Then 30 calls through all entries are answered

  Scenario: A call that one server sheds is answered by another
    Given 3 servers of "die-ledger" are known
    Then 20 calls that "die-ledger-0" sheds are answered

  Scenario: A call that every server sheds is refused with a retry-after time
    Given 3 servers of "die-ledger" are known
    When a caller sends POST /die-ledger/x?shed=all
    Then the answer has status 503
    And the answer reports executed "no"
    And the answer has a retry-after time

  Scenario: A request that crashes two servers is quarantined everywhere
    Given 3 servers of "die-ledger" are known
    When a caller sends GET /die-ledger/poison?crash=all
    Then the answer has status 502
    And the answer reports executed "unknown"
    And the request is reported as quarantined by every entry
    And every entry refuses GET /die-ledger/poison?crash=all with 422
    And 1 server of "die-ledger" is still running
    When the operator releases the quarantine
    Then no request is quarantined

  # Such a request was never quarantined, and went on to crash servers.
  Scenario: A request that crashes servers in their answers is quarantined too
    Given 3 servers of "die-ledger" are known
    When a caller sends GET /die-ledger/poison?crash_midway=all
    Then the answer has status 502
    And the answer reports executed "unknown"
    And the request is reported as quarantined by every entry
    And 1 server of "die-ledger" is still running
    When the operator releases the quarantine
    Then no request is quarantined

  Scenario: Silent connections are replaced without ejecting their server
    Given 3 servers of "die-ledger" are known
    And a server of "order-desk" behind a relay
    When 5 calls to "order-desk" were answered
    And all open connections of the relay go silent
    Then an idempotent call to "order-desk" is answered
    And the server of "order-desk" is not ejected
    When all open connections of the relay go silent
    And an order without a key is sent to "order-desk"
    Then the answer has status 504
    And the answer reports executed "unknown"
    And the order without a key was executed at most once
    And an idempotent call to "order-desk" is answered

  Scenario: A call is cancelled when its caller disconnects
    Given 3 servers of "die-ledger" are known
    When a caller disconnects during a call that takes 1500 ms
    Then no call is outstanding at any entry

  Scenario: A request whose answers are cut short is not quarantined
    Given 3 servers of "die-ledger" are known
    When a caller sends GET /die-ledger/x?cut=1
    Then the answer has status 502
    And the answer reports executed "unknown"
    When a caller sends GET /die-ledger/x?cut=1
    Then the answer has status 502
    And no request is quarantined
