Feature: The gateway's rules for one request, without any process

  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples:
      | property                                                   |
      | a request ends at its caller's time or its route's         |
      | a time that can't be read counts as the default            |
      | a request waits for what its target leaves beside its work |
      | a request's age is what it lacks to a usual first time     |
      | ages follow callers that begin with another time           |
      | the rate of ends follows the last seconds                  |
      | another zone costs more the longer the body or the work    |
      | a refusal never asks for a retry at once                   |
      | only a late request fails as late                          |
      | an answer is whole, too long or cut short by how it ends   |
      | requests are held while a gateway starts, not for long     |
      | a slot granted to a request that is cancelled is returned  |
      | bodies with a content coding are passed on unchanged       |
