@size.3x1
Feature: Servers come and go without a list of them anywhere

  Scenario: A server is known to all entries through any one of them
    Given 3 servers of "die-ledger" are known
    Then 30 calls through all entries are answered

  Scenario: A server that drains gets no new work
    Given 3 servers of "die-ledger" are known
    When the server "die-ledger-1" is told to end
    Then all entries know 2 servers of "die-ledger"
    And 30 calls through all entries are answered

  Scenario: A server that dies without a word goes by its lease
    Given 3 servers of "die-ledger" are known
    When the server "die-ledger-2" is killed
    Then 30 calls through all entries are answered
    And all entries know 2 servers of "die-ledger"

  Scenario: A server that moves to a new address is found there
    Given 3 servers of "die-ledger" are known
    When the server "die-ledger-0" is killed and started at another port
    Then 30 calls through all entries are answered

  Scenario: A server that sheds is passed over
    Given 3 servers of "die-ledger" are known
    Then 20 calls that "die-ledger-0" sheds are answered

  Scenario: A call that every server sheds says when to come back
    Given 3 servers of "die-ledger" are known
    When a caller sends POST /die-ledger/x?shed=all
    Then the answer has status 503
    And the answer says executed "no"
    And the answer says when to come back

  Scenario: A request that crashes two servers is quarantined everywhere
    Given 3 servers of "die-ledger" are known
    When a caller sends GET /die-ledger/poison?crash=all
    Then the answer has status 502
    And the answer says executed "unknown"
    And the request is reported as quarantined by every entry
    And every entry refuses GET /die-ledger/poison?crash=all with 422
    And 1 server of "die-ledger" is still running
    When the operator releases the quarantine
    Then no request is quarantined

  Scenario: Connections that went silent are replaced without blame
    Given 3 servers of "die-ledger" are known
    And a server of "order-desk" behind a relay
    When 5 calls to "order-desk" were answered
    And all present connections of the relay go silent
    Then a repeatable call to "order-desk" is answered
    And the server of "order-desk" is not ejected
    When all present connections of the relay go silent
    And an order without a key is sent to "order-desk"
    Then the answer has status 504
    And the answer says executed "unknown"
    And the order without a key ran at most once
    And a repeatable call to "order-desk" is answered

  Scenario: A caller that hangs up cancels its call
    Given 3 servers of "die-ledger" are known
    When a caller hangs up on a call that takes 1500 ms
    Then no call is outstanding at any entry
