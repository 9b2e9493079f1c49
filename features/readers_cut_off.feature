# Guards against machines in touch that went on by an old configuration for up to 3 s, as
# the gateways that read the store for them were cut off from it and did not know yet.
Feature: The gateways that read the store are cut off from it

  Scenario Outline: All readers of <zones> zones are cut off, <how>
    Given 2 workers and gateways in <zones> zones, each with its own path to the store
    When all gateways that read the store are cut off, <how>, and the configuration changes
    Then the other gateways serve the new route 2 s after its acknowledgement

    Examples:
      | zones | how                                   |
      | 3     | and their connections stay silent     |
      | 3     | and their connections end after 2 s   |
      | 3     | and their connections are refused     |
      | 2     | and their connections stay silent     |
      | 1     | and their connections stay silent     |
      | 1     | and their connections end after 2 s   |
      | 1     | and their connections are refused     |

  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples:
      | property                                              |
      | calls of readers end in turns                         |
      | a reader whose response is overdue tells its zone     |
      | the next in rank reads at once where the reader stops |
