Feature: The whole path on the users' platform, against stand-ins

  Background:
    Given a platform store with a configuration and 3 workers
    And 2 gateways

  Scenario: A request gets its worker's whole answer
    When a client sends GET "/read/a%2Fb?x=1" as "one"
    Then the client gets status 200
    And "one" ran 1 time with that very target
    And the worker was told its own id and no more time than the client has

  Scenario: What no route leads to is not found, and what no worker serves is refused at once
    When a client sends GET "/nowhere/" as "lost"
    Then the client gets status 404
    When a client sends GET "/empty/x" as "unserved"
    Then the client gets status 503 with a time to come back

  Scenario Outline: A fault of one worker is covered for requests that may be repeated
    Given one worker is "<mode>"
    When 30 requests GET "/read/x" are sent
    Then all of them get status 200 with their own target

    Examples:
      | mode           |
      | shed           |
      | error          |
      | cut            |
      | reset-unframed |
      | unframed       |
      | foreign        |
      | unstamped      |
      | garbage        |
      | surplus        |
      | late-surplus   |
      | lost           |

  Scenario Outline: A fault of a worker is never hidden for what may run once
    Given all workers are "<mode>"
    When a client sends POST "/book/x" as "booking"
    Then the client gets status <status>
    And "booking" ran <runs> times
    And the answer bears a stamp only if a worker gave that status

    Examples:
      | mode           | status | runs |
      | good           | 200    | 1    |
      | shed           | 503    | 0    |
      | bare-503       | 502    | 1    |
      | error          | 500    | 1    |
      | cut            | 502    | 1    |
      | reset-unframed | 502    | 1    |
      | foreign        | 502    | 1    |
      | unstamped      | 502    | 1    |
      | garbage        | 502    | 1    |
      | lost           | 502    | 1    |

  Scenario: Answers that are cut short again and again take no more workers than allowed
    Given all workers are "cut"
    When a client sends GET "/read/x" as "cut-often"
    Then the client gets status 502
    And "cut-often" ran 2 times

  Scenario: A kept connection that holds bytes nobody asked for is not used again
    Given one worker is "late-surplus"
    When its surplus answers lie unread before each of 6 requests to it
    Then each of these requests gets the worker's own answer

  # The bytes lay in the kernel's buffer: a busy event loop had not read them yet.
  Scenario: Surplus bytes that a busy gateway has not read are not taken for an answer
    Given one worker is "late-surplus"
    When its surplus answers come while the event loop stands still, before each of 6 requests to it
    Then each of these requests gets the worker's own answer

  Scenario: Surplus bytes that a busy gateway has not read fail no health check
    Given one worker is "late-surplus"
    When a health check follows surplus answers that came while the event loop stood still
    Then the health check tells the worker's load

  Scenario: Surplus bytes that a busy gateway has not read are not taken for the store's answer
    When the store's surplus answers come while the event loop stands still
    Then each call to the store gets its own answer

  # Each new connection was taken for a stale one, and another one opened, without end.
  Scenario: A request to an upstream that resets each new connection fails at once
    When a request is sent to an upstream that resets each new connection
    Then it fails and at most 1 connection was opened

  Scenario: An answer that comes before the whole body was read does not spoil the next
    Given all workers are "early"
    When a client uploads 900000 bytes as "photos"
    Then the client gets status 200
    When all workers are "good"
    And 20 requests GET "/read/x" are sent
    Then all of them get status 200 with their own target

  Scenario: A resting connection is closed after the time of the configuration in force
    When the operator lets connections rest for 1 second in version 9
    Then a new connection that rests is closed, but not before that time

  Scenario: The route's time ends with a final answer, and the worker is let go
    Given all workers are "hang"
    When a client sends POST "/brief/x" as "slow"
    Then the client gets status 504
    And the worker's work was broken off

  Scenario: A client that leaves ends the work
    Given all workers are "hang"
    When a client sends POST "/book/x" as "left" and leaves
    Then the worker's work was broken off

  Scenario: A new configuration is in force on every gateway, and an older one never again
    When the operator adds a route "/new/" in version 9
    Then every gateway serves "/new/x"
    When the operator removes it again in version 4
    Then every gateway still serves "/new/x"

  Scenario: Bad items in the store change nothing
    When the store holds a configuration that is cut short and a worker without slots
    Then every gateway still serves "/read/x"
    And a gateway's log has event 210 for "op/config"
    And a gateway's log has event 210 for "servers/bad"

  Scenario: A zone that is emptied gets nothing new, and is used again once taken back
    Given a worker in another zone
    When the operator evacuates that zone and every gateway says so
    Then none of 40 requests is run in that zone
    When a gateway is started and the operator takes the evacuation back
    Then the worker of that zone runs requests again

  Scenario: Where all zones are emptied requests are refused at once
    When the operator evacuates all zones and every gateway says so
    And a client sends POST "/book/x" as "nowhere-to-go"
    Then the client gets status 503 with a time to come back
    And "nowhere-to-go" ran 0 times

  Scenario: A cold worker gets no more from all gateways than it bears
    Given cold workers bear 4 requests a second
    When one worker turns cold for 3 seconds and 300 requests come while it is
    Then it has not fallen over
    And all others took what it could not

  Scenario: A worker that drains gets nothing new
    When all workers but one say that they drain
    Then only that one runs what is sent from then on

  Scenario: An address that another worker took over runs nothing that was meant for the first
    When a worker's address is taken by one with another id
    And 20 requests GET "/read/x" are sent
    Then all of them get status 200 with their own target
    And the new worker ran nothing

  Scenario: The store forgets its history and a worker leaves in the gap
    When the store forgets its history while a worker is taken away
    Then that worker gets nothing new

  Scenario Outline: The store is out of reach and comes back
    When the store is "<trouble>" for a while
    Then every gateway still serves "/read/x"
    When the store is sound again
    And the operator adds a route "/new/" in version 9
    Then every gateway serves "/new/x"

    Examples:
      | trouble |
      | refuse  |
      | busy    |
      | silent  |

  Scenario: Few gateways read the store, and the others step in
    Given 2 more gateways of the first zone
    Then only one of the first zone's gateways goes on reading the store
    When that gateway is killed
    And the operator adds a route "/new/" in version 9
    Then every gateway that lives serves "/new/x"

  Scenario: A gateway whose seeds are all gone meets the fleet through the store
    When a gateway is started whose only seed is dead
    Then that gateway and the others name each other to callers
    And each zone's place for newcomers was written at most 2 times

  Scenario: A failed request is explained from the logs of all gateways
    Given all workers are "lost"
    When a client sends POST "/book/x" as "booking"
    And a line that is no event lies in a gateway's log
    Then explain tells of request "booking" that it failed by "connection-lost" at a worker
    And explain names the line that it can't read
    And explain tells of version "3" when it came
    And explain says that nothing is told of request "nobody"

  Scenario: A repeat is told in the logs with what decided it
    Given one worker is "lost"
    When 30 requests GET "/read/x" are sent
    Then the logs tell of each repeat its request, worker and reason

  Scenario: The standard library's module "platform" is not hidden
    Then the started program finds the standard library's "platform"

  Scenario: Settings that are cut short are named and end the start
    When a gateway is started with settings that are cut short
    Then it ends with code 2 and a line that names the file

  Scenario: Callers are told ready gateways, and a stopping one is told no more
    Then the directory names 2 addresses
    When a gateway gets SIGTERM while 40 slow requests are sent through it
    Then all of them get status 200 with their own target
    And the directory names 1 address
    And that gateway ended with code 0

  Scenario: What comes late in a planned stop on an open connection is refused, not cut
    When a gateway gets SIGTERM and a slow request follows late on an open connection
    Then that request gets status 503 and a time to come back

  Scenario: Changed settings are taken in, with a signal or without one
    When the settings file of a gateway changes without a signal
    Then that gateway tells callers the new time
    When its settings file is cut short and it gets SIGHUP
    Then a gateway's log has event 212 that names the file
    And that gateway tells callers the new time

  Scenario: A planned stop ends open connections that rest, and with them the process
    Given a gateway that may take 60 seconds to stop, and a connection to it that rests
    When that gateway gets SIGTERM
    Then the connection is closed and the process ends with code 0
