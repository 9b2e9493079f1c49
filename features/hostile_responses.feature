Feature: Responses of peers that are broken, or never end

  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples:
      | property                                                   |
      | interim responses without end fail the request soon        |
      | interim responses without end fail a health check soon     |
      | interim responses without end fail a call of the store     |
      | some interim responses before a final one do no harm       |
      | a response that is cut at any byte is no success           |
      | a body without end is not read for ever                    |
      | an own store's body without end is not read for ever       |
      | bytes without end that are no response are not kept        |
      | hosts that no resolver takes are refused before sending    |
