Feature: The soak of processes: real gateways under faults from outside

  Scenario: A seed always gives the same plan, and its written form the same steps
    Then seed 7 gives the same steps again, also from their text

  Scenario: A short play of one seed is clean
    When the plan of seed 2403 is played for 6 seconds
    Then the play has no violation
    And it left a page with a plot and the log of each gateway
    And nothing that it started still runs

  Scenario: A play with requests that end upstreams and suspended hosts is clean
    When requests that end upstreams are sent beside other faults
    Then the play has no violation
    And at least 3 upstreams ended under such a request
    And a gateway noticed that its host was suspended
    And nothing that it started still runs

  Scenario: A play with upstreams that stand still is clean
    When upstreams stand still beside other faults
    Then the play has no violation
    And nothing that it started still runs

  Scenario: A play with upstreams that say how much they will take is clean
    When upstreams name limits, ask for rest and leave beside other faults
    Then the play has no violation
    And nothing that it started still runs

  Scenario: A play with a store that is restored from backups is clean
    When the store is restored from backups beside other faults
    Then the play has no violation
    And nothing that it started still runs

  Scenario: A play with gateways that are cut off from all upstreams is clean
    When gateways lose their links to all upstreams beside other faults
    Then the play has no violation
    And nothing that it started still runs

  Scenario: A play in which all gateways end at once is clean
    When all gateways end at once, twice, beside other faults
    Then the play has no violation
    And nothing that it started still runs

  Scenario: A play that is interrupted ends what it started
    When a play is interrupted while its gateways run
    Then nothing that it started still runs
