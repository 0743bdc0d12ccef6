Feature: Operators change the fleet under load

  @known-red
  Scenario: a primary is moved as planned
    Given the lentes deployment with 3 VMs
    And the fleet runs
    When load runs for 5 s at 40 percent of the rates
    And 2000 ms pass
    And an operator runs: group move stock stock-2
    Then the load ends
    And no promise is broken
    And the primary of stock is stock-2
    And no request was refused or lost but for allowances

  @known-red
  Scenario: a primary is moved while callers rest inside transactions
    Given the lentes deployment with 3 VMs
    And customer bench-1 sends 100ms by pause
    And customer bench-1 sends 40 by transaction-percent
    And customer bench-2 sends 100ms by pause
    And customer bench-2 sends 40 by transaction-percent
    And the fleet runs
    When load runs for 5 s at 40 percent of the rates
    And 2000 ms pass
    And an operator runs: group move stock stock-2
    Then the load ends
    And no promise is broken
    And the primary of stock is stock-2
    And no request was refused or lost but for allowances

  @known-red
  Scenario: a data centre is taken out and brought back
    Given the lentes deployment with 3 VMs
    And the fleet runs
    When load runs for 12 s at 40 percent of the rates
    And 1500 ms pass
    And an operator runs: data-centre take-out medellin
    And endpoint calls in data centre medellin are counted after 3000 ms
    And 2500 ms pass
    Then no further call reached data centre medellin
    And VM vm-1 gets no callers
    When an operator runs: data-centre bring-back medellin
    And 2500 ms pass
    Then further calls reached data centre medellin
    And VM vm-1 gets callers
    And the load ends
    And no promise is broken
    And the primary of stock has changed
    And no request was refused or lost but for allowances

  Scenario: an endpoint leaves while the platform is slow
    Given the lentes deployment with 3 VMs
    And the fleet runs
    When load runs for 9 s at 40 percent of the rates
    And 1000 ms pass
    And an operator runs: endpoint take-out stock-3
    And the platform is slow
    And 6000 ms pass
    And the platform is well
    Then the load ends
    And no promise is broken

  Scenario: a key is withdrawn while its customer sends
    Given the lentes deployment with 3 VMs
    And the fleet runs
    When load runs for 7 s at 50 percent of the rates
    And 2000 ms pass
    And an operator runs: key withdraw bench-1 b6904eae3cb8
    And now is marked
    Then the load ends
    And customer bench-1 is not served later than 3000 ms after the mark
    And customer bench-2 is served after the mark

  Scenario: a key is withdrawn while one VM is cut from the platform
    Given the lentes deployment with 3 VMs
    And the fleet runs behind fault-injecting proxies
    When load runs for 8 s at 50 percent of the rates
    And 1500 ms pass
    And link platform/vm-1 is frozen
    And 500 ms pass
    And an operator runs: key withdraw bench-1 b6904eae3cb8
    And now is marked
    Then the load ends
    And customer bench-1 is not served later than 3000 ms after the mark
    And customer bench-2 is served after the mark

  Scenario: a key is withdrawn while one VM is cut from the platform and from its peers
    Given the lentes deployment with 3 VMs
    And the fleet runs behind fault-injecting proxies
    When load runs for 8 s at 50 percent of the rates
    And 1500 ms pass
    And link platform/vm-1 is frozen
    And link peer/vm-1 is frozen
    And link peer/vm-2 is frozen
    And link peer/vm-3 is frozen
    And an operator runs: key withdraw bench-1 b6904eae3cb8
    And now is marked
    Then the load ends
    And customer bench-1 is not served later than 3000 ms after the mark
    And customer bench-2 is served after the mark

  Scenario: a key is withdrawn after the platform was restored from a copy
    Given the lentes deployment with 3 VMs
    And the fleet runs
    When load runs for 9 s at 50 percent of the rates
    And 1000 ms pass
    And a copy of the platform is taken
    And an operator runs: endpoint take-out stock-3
    And 1000 ms pass
    And the platform is restored from the copy
    And an operator runs: key withdraw bench-1 b6904eae3cb8
    And now is marked
    Then the load ends
    And customer bench-1 is not served later than 3000 ms after the mark
    And customer bench-2 is served after the mark

  Scenario: a withdrawn key is not accepted again after the platform was restored from a copy
    Given the lentes deployment with 3 VMs
    And the fleet runs
    When load runs for 9 s at 50 percent of the rates
    And 1000 ms pass
    And a copy of the platform is taken
    And an operator runs: key withdraw bench-1 b6904eae3cb8
    And now is marked
    And 2000 ms pass
    And the platform is restored from the copy
    Then the load ends
    And customer bench-1 is not served later than 3000 ms after the mark
    And customer bench-2 is served after the mark

  Scenario: the platform is down for all and the last revision stays in force
    Given the lentes deployment with 3 VMs
    And the fleet runs
    When load runs for 9 s at 40 percent of the rates
    And 1000 ms pass
    And the platform is down
    And 6000 ms pass
    And now is marked
    And 500 ms pass
    And the platform is well
    Then the load ends
    And no promise is broken
    And customer bench-1 is served after the mark
    And no request was refused or lost but for allowances

  Scenario: a VM that restarts during an outage takes the configuration from peers
    Given the lentes deployment with 3 VMs
    And the fleet runs
    When the platform is down
    And VM vm-3 is killed
    And VM vm-3 starts again
    Then VM vm-3 holds configuration revision of VM vm-1 within 20 s

  Scenario: one customer sends eight times its rate
    Given the lentes deployment with 3 VMs
    And customer bench-2 sends 320/s by arrivals
    And the fleet runs
    When load runs for 6 s at 40 percent of the rates
    And 2000 ms pass
    And VM vm-3 is killed
    Then the load ends
    And no promise is broken
    And customer bench-2 got no more than its allowance while it asked for more
