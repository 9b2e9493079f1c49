Feature: The gateway's decisions and its adapter, without any process

  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples:
      | property                                                   |
      | the longest prefix of the host is the route                |
      | weights are kept to within one request                     |
      | the fleet's extra sends keep to share and reserve          |
      | a fleet's retries keep to what all may send together       |
      | a fleet's retries keep to it where they arrive late        |
      | retries that are known to arrive are not held back         |
      | what stands still is found out by tries that break off     |
      | what went on again is used again                           |
      | what was ejected as silent waits until a probe tells of it |
      | so does one that is sent to long after probes miss it      |
      | one that probes have left for long is tried again          |
      | a repeat has arrived when all copies but one were read     |
      | a low rate of requests still earns a retry                 |
      | a reserve that was used is whole again after a window      |
      | the size of the fleet is the largest of the last minute    |
      | an upstream without room or leaving is never chosen        |
      | a slowed upstream is passed over while another has room    |
      | an upstream that nobody has tried yet gets its share       |
      | a call waits while only slowed upstreams have room         |
      | of equals the own zone's upstreams are taken first         |
      | what can't be repeated avoids upstreams that fail some     |
      | a call whose wait is over is refused, not slowed down      |
      | a call goes to a slowed upstream where all are slowed      |
      | only what is known not to have run is sent again           |
      | no call is sent to more upstreams than it may be           |
      | a call that waits too long for room is refused             |
      | a call that can be in time goes before one that can't      |
      | a refusal names the rule that decided                      |
      | a saturated service learns that it is crowded              |
      | entries that lapse with the store are kept for a while     |
      | entries that leave a sound store are dropped at once       |
      | a watch that was cut is no outage of the source            |
      | the first watch after a failed one waits for no change     |
      | leases that expire in an outage are kept for a while       |
      | the grace after an outage counts from its end              |
      | a new reader whose call fails takes it for an outage       |
      | the last slots stay empty where filling them slows work    |
      | callers are sent to the strongest gateways of each zone    |
      | callers are not told of a gateway that died                |
      | callers are not told of a gateway without upstreams        |
      | callers are told of some where none reaches an upstream    |
      | a gateway without upstreams probes none for others         |
      | failures of several upstreams call for a check of links    |
      | silence calls for a check only while a response is due     |
      | links that come and go end an isolation late               |
      | open connections do not hide that new ones are refused     |
      | open connections do not hide that new ones hang            |
      | a slow response to a check is no isolation beside others   |
      | a check of links does not rely on crashed upstreams        |
      | a check of liveness tells what becomes of a connection     |
      | few requests are handed over while nobody serves them      |
      | a gateway that serves is used until it fails               |
      | a gateway that does not respond holds up no other trial    |
      | a gateway that knows no upstream is not isolated           |
      | each gateway is weighed once where all are too few         |
      | more gateways step in where the weakest is overloaded      |
      | what callers ask rises at once and falls late              |
      | one that starts gives a peer time to spare it the reading  |
      | one that starts slowly, or is answered, waits for longer   |
      | those read first that callers will be sent to              |
      | the first reading begins when the wait for a peer ends     |
      | a fleet that starts has one reader a zone                  |
      | only who reads the source passes news on at once           |
      | the next reader's list replaces one that retains upstreams |
      | peers end the grace of retained upstreams by themselves    |
      | a reader that starts after an outage ends no grace early   |
      | the list after the grace is settled and of its revision    |
      | a list leaves out upstreams whose grace is over            |
      | gateways of earlier releases read lists with grace         |
      | lists are ordered by era, then by version within it        |
      | peers accept the list of a restored source                 |
      | a list of an earlier era does not overtake a snapshot      |
      | changes of an earlier era do not alter a later list        |
      | a list without a position is compared by version           |
      | gossip advertises the position of a list                   |
      | a discovery record lost in a restore is rewritten          |
      | an order rewritten after a restore keeps its run           |
      | an order not rewritten after a restore is dropped          |
      | an evacuation missing from a backup is kept temporarily    |
      | an order without an era is compared by revision            |
      | withdrawn upstreams stay out of use after a restore        |
      | withdrawn upstreams stay out of use after two restores     |
      | a reader reads everything again after a restore            |
      | a load report that tells nothing new is sent now and then  |
      | that an upstream is full or slowed is sent each time       |
      | nothing is kept of the reports of upstreams that are gone  |
      | the loops of a standby gateway wake it together            |
      | all waiting connections are accepted in one iteration      |
      | the limit falls while iterations are long, then is lifted  |
      | slow upstreams and standstills do not lower the limit      |
      | short timeouts allow only short iterations                 |
      | more gateways step in where some refuse for lack of time   |
      | rounds of load reports take a bounded share of the time    |
      | who is refused while it sends its body gets the response   |
      | an admitted request is handed over as it was received      |
      | a copy of the built tree starts without compiling it       |
      | most gossip of a gateway stays in its zone                 |
      | a fleet that starts soon knows who is in its zone          |
      | an outage of the source is not met by the whole zone       |
      | where the source turns many hosts away the next one reads  |
      | a few that are cut off from their zone read for themselves |
      | an evacuated zone empties by and by, within its bound      |
      | who starts while a zone is evacuated never uses it         |
      | a zone that is taken back is in use again at once          |
      | gateways that know no evacuations drain such upstreams     |
      | nothing is sent to an evacuated zone after its bound       |
      | calls that wait get no room in an evacuated zone           |
      | where all zones are evacuated calls are refused at once    |
      | of an evacuation that comes and goes the last word counts  |
      | the key of an evacuation counts whatever its value is      |
      | cold upstreams get no more than they bear, by one owner    |
      | a rate divided among many is hardly used                   |
      | what was not used of a cold upstream's rate is lost        |
      | the latest health answer says whether one is cold |
      | silence on coldness means warm only where cold ones speak  |
      | an upstream that was away is cold until it says otherwise  |
      | calls that only others may place are refused at once |
      | each cold upstream has one owner among equal views         |
      | a cold upstream that stands still reads what it bears      |
      | upstreams get the limits that they name, and no more       |
      | limits hold while gateways end, start and stand still      |
      | limits hold while views of who shares them differ          |
      | who begins to hold a limit waits for what was sent before  |
      | limits hold where upstreams stand still, and read on       |
      | a side that sees too few others sends a small part         |
      | an upstream that names no limit any more is free at once   |
      | an answer from before a limit does not end it              |
      | what an upstream said holds when its entry comes back      |
      | a limit is told on by who heard it, and that it ended      |
      | limits are read where they mean something                  |
      | who is let wait for a turn is not refused after all        |
      | an upstream that rests gets nothing until its rest is over |
      | where all rest calls are refused with the end of the first |
      | a try that waits for its connection is not sent into a rest |
      | an upstream that said it leaves stays out whatever is listed |
      | what an upstream said before its new start is listed holds for that start |
      | rests and leaving are read where they mean something       |
      | a probed upstream has one prober with equal views          |
      | hostile bytes of gateways are refused and bounded          |
      | peer messages come out as they went in                     |
      | bad documents of the platform are named                    |
      | items of the platform that are not base64 are named        |
      | a failed call of the platform's store says why             |
      | a probe limit of the platform that is no number is named   |
      | all mistakes in the gateway's settings are told at once    |
      | a port range of the platform that is no list is named      |
      | a request under which three upstreams end is quarantined |
      | upstreams that end together quarantine no request |
      | an answer clears a request, and older notes are no news |
      | a quarantined request is sent once more, by one gateway |
      | another body, path or caller makes another request |
      | what is kept of requests that end upstreams is bounded |
      | notes on a request tell the same in whatever order |
      | a fleet sends what ends upstreams at most three times more |
      | a deadline holds on a host that was suspended |
      | a load header is read whatever it holds                    |
      | a story has a bounded length whatever the logs hold        |
      | a full pipe drops lines and says how many                  |
      | a kind of route that nobody knows runs at most once        |
      | a route that can't be served is refused alone              |
      | no value of a configuration takes down the rest            |
      | numbers that are none in JSON take down nothing else       |
