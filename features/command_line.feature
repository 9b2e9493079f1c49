Feature: The command line and the pages made from the code

  Scenario: Help reads well for every command
    Then help is printed for "entry,gateway,caller,bundle,explain,demo,bundle check,bundle publish"

  Scenario: Bad settings are all reported at once
    When the entry is started with bad settings
    Then the exit code is 2 and 4 flags are named

  Scenario: Bad settings of a gateway are all reported at once, from flags and file
    When a gateway's settings are checked with a bad file and a bad flag
    Then the exit code is 2 and the faults name "--listen,--host,--zone,--source,--nonsense"

  Scenario: A bundle goes the operators' way
    Given a platform with 1 upstreams
    When an operator checks, signs and publishes version 1 by the command line
    And 3 entries in three zones are started
    Then status says that all agree on version 1
    And publishing from version 0 again with another text is a conflict
    And publishing the accepted file again says that it is accepted
    And diff, show and history tell of version 1

  Scenario: A decision can be explained
    Given a platform with 3 upstreams
    And bundle version 1 is published
    And 1 entries in three zones
    When a caller reads "/rates" as "explained"
    Then explain says which upstream took it and why

  Scenario: The pages made from the code are up to date
    Then every page that is made from the code is as committed
