Feature: Several regions, without any process

  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples:
      | property                                                     |
      | a gateway's peers are those of its region, all of them       |
      | callers are sent to gateways of their own region             |
      | each region has as many active gateways as it is asked       |
      | bytes between regions do not grow with the hosts             |
      | a lossy way between regions makes nobody suspect anybody     |
      | regions that lose each other go on, and meet again           |
      | a cut of one direction does as one of both                   |
      | callers of a region that is lost are served by the others    |
      | a region that returns is ready for its part of all callers   |
      | what a lost region was asked is expected by the others       |
      | a fleet whose seeds lie in one region finds itself           |
      | of a cold upstream one gateway is the owner in any cut       |
      | a summary never replaces a newer one, nor the own region's   |
      | a fleet of one region speaks and answers as before           |
      | the directory reads where its callers are                    |
      | in calm all but a few in a thousand stay in their region     |
      | a region that is overrun uses what others have to spare      |
      | regions that are all overrun keep to themselves              |
      | large answers stay in their region for longer                |
      | a region without upstreams uses those of others at once      |
      | no try of a call leaves the regions in which it may run      |
      | calls that wait are refused once their regions have none     |
      | a route is served in the regions that it allows only         |
      | elsewhere its requests are refused at once, and never run    |
      | the regions of a host are those that all its routes allow    |
      | the directory sends such callers to a region that may serve  |
      | documents of other regions count while no reader is heard    |
      | nobody of another region sends to a cold upstream            |
      | each region has one reader of the source                     |
      | each upstream is probed by one gateway of its region         |
