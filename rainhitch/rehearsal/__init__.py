"""The rehearsal kit: runs scenarios on one machine, with real routers and fakes of the systems around them.

From a scenario to its report:

    scenario.py, faults.py      the scenario file, read strictly
    plan.py                     what a seed makes of it: `plan_model`, `planned_requests`, `fault_actions`,
                                `endpoint_changes`
    runner.py                   a run from the plan to the report, and the proof of the checker
    environment.py              the processes of a run: `worker_process`, `router_process`, `router_faults`,
                                `router_configuration`, `router_settings`, `machine_checks`, `ports`
    fakes/                      clients, cache nodes, database, discovery, etcd and the links between them
    checker/                    what routers did wrong, and the service
    report.py                   the report as JSON; `report_text` for a terminal; `run_records` for kept runs
    virtual/                    the same run in virtual time, in one process
    explore/                    a search for scenarios in which something breaks
    plain_router.py             a yardstick, and broken routers to prove the checker
"""
