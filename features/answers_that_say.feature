# Upstreams said in their answers that they leave, while the store took no writes; it told of
# that 12 s later. A gateway went on to send requests there, 10.2 s after it had passed on
# such an answer: that header was not read. Others turned requests away and asked the gateway
# for 3 s of rest; it sent one of them 91 requests in the first 0.6 s, as one that answers at
# once has all its slots free, and told its callers to come back in 3 s.
#
# These lines of one gateway settled it, of one upstream that leaves and one that rests:
#
#   E403 upstream=i-1 reason=not listed
#   E412 upstream=i-5 rest_s=3.0
#   E601 reason=upstream-shed usable=28 retry_after_s=3.0
#
# The first came when the store did; between the last two were 91 requests.
Feature: Upstreams that say in their answers that they leave, or ask for rest

  Background:
    Given a platform store with a configuration and 0 workers
    And 12 workers and 5 gateways, and 150 requests a second that have 1 s

  Scenario: Workers leave while the store is down
    When 3 workers say that they leave while the store is down for 8 s
    Then none of them gets a request sent 2 s after its gateway was told
    And of all callers all but 1 in 100 are served

  Scenario: Workers leave, and the store says that they are ready
    When 3 workers say that they leave while their entries come and go for 8 s
    Then none of them gets a request sent 2 s after its gateway was told
    And of all callers all but 1 in 100 are served

  # What the new process said was taken for the earlier one's and forgotten with it.
  Scenario: Workers start again and leave before the store tells of their start
    When 3 workers start again and say that they leave, and the store tells of their start 4 s later
    Then none of them gets a request sent 2 s after its gateway was told
    And of all callers all but 1 in 100 are served

  Scenario: All workers leave
    When 12 workers say that they leave while the store is down for 6 s
    Then none of them gets a request sent 2 s after its gateway was told
    And who is refused is told at once that nothing has run and when to come back

  Scenario: Workers ask for rest, and others have room
    When 3 workers ask for 3 s of rest for 9 s
    Then no worker gets more than 2 requests from a gateway in a rest
    And of all callers all but 1 in 50 are served

  Scenario: All workers ask for rest
    When 12 workers ask for 3 s of rest for 5 s
    Then no worker gets more than 2 requests from a gateway in a rest
    And who is refused while no rest is about to end is told so at once
    And nobody is told to come back before a worker may be asked again

  Scenario: A word on leaving that means nothing is ignored
    When 1 workers answer with "Server-Leaving" "maybe" for 5 s
    Then each of them gets half of what the others get meanwhile
    And each gateway has at most 1 line on it

  Scenario Outline: A rest that means nothing is ignored: <text>
    When 1 workers answer with "Retry-After" "<text>" for 5 s
    Then each of them is asked again and again
    And each gateway has at most 1 line on it

    Examples:
      | text |
      | soon |
      | -3   |
      | nan  |
