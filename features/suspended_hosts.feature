Feature: Hosts that are suspended for a while

  Scenario: A request whose time ran out while its host was suspended is ended at once
    When a host is suspended while an answer of an upstream is read
    Then once it wakes up the caller is told at once that its time is over
