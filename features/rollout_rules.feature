Feature: What holds while a service changes its version, in virtual time

  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples:
      | property                                                         |
      | a bad version is taken back, within share and bound              |
      | so it is under trouble                                           |
      | a version that fails under more load than there is is taken back |
      | a version that fails more often in sum is not promoted           |
      | a good version is completed in time, whatever else fails         |
      | gateways that start again without callers hinder no order        |
      | what an ended process said does not count for the next           |
      | what all processes send to a version stays in its share          |
      | only first tries go to a version that is tried                   |
      | what a version that is tried fails is always retried             |
      | calls that no version may get are refused, and wait for none     |
      | a version that was replaced gets no new work                     |
      | a gateway that has gone delays an order, and not too long        |
      | no evidence counts twice, however often it is told               |
      | a few bad upstreams are not taken for their version              |
      | what strikes all versions alike speaks against none              |
      | in a larger fleet a gateway tells no more                        |
      | orders that have ended crowd out no news of others               |
      | a status only goes forward, and is written under conditions      |
      | a status is written only in place of what was read               |
      | a write keeps the condition under which it was decided           |
      | a write that may be done is settled by nothing but its effect    |
      | of two that decide one writes, and neither goes back             |
      | only who begins a phase announces it to everyone                 |
      | a version that nobody runs is given up when time is over         |
      | a version that all run is completed at once                      |
      | too few upstreams of a version are not promoted                  |
      | an order that is taken away sends nothing more to its version    |
      | a second order spares the version of the first                   |
      | the same order again is a new one                                |
      | orders that can't be read move nothing else                      |
      | an older reading takes no newer order back                       |
      | an order found at the start goes on by its status                |
      | peers learn of an order with the upstreams it is about           |

  Scenario: A slow version that reports itself slow is taken back while gateways start again
    Then the property "a version that reports itself slow is found out as well" holds

  Scenario: A version that is slow with 6 of 10 requests is taken back while gateways start again
    Then the property "a version that is slow in part is found by any gateway" holds

  Scenario: An answer of an upstream that was ejected meanwhile is timed
    Then the property "answers are timed by what was known when calls were sent" holds
