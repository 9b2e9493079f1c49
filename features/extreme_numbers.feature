Feature: Numbers from operators and upstreams at the ends of their ranges

  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples:
      | property                                               |
      | routes are served whatever their numbers are           |
      | services are served whatever their numbers are         |
      | load reports free their slots whatever they hold       |
      | signals free their slots whatever they hold            |
      | an error while a result is recorded costs no response  |
      | an error on the way of a request frees its slot        |
