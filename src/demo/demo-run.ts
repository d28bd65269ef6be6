/** Runs the demo: makes calls, drains a backend server, stops a daemon, and checks all calls by the oracle. */
import {setTimeout as delay} from 'node:timers/promises';
import {type CallRecord} from '../stand-ins/backend-server/types.ts';
import {type CallerReport} from '../stand-ins/caller/types.ts';
import {standInClient} from '../stand-ins/stand-in-client.ts';
import {type DemoBackendServer, type DemoFleet} from './demo-fleet.ts';
import {type ServiceFigures, serviceTable, verdictLine} from './demo-report.ts';
import {checkCalls, type Verdict} from './oracle.ts';

/** Options of the demo. */
export type DemoOptions = {
	readonly seconds: number;
	readonly killsPlatform: boolean;
	readonly print: (line: string) => void;
};

/** Steps of the demo happen after these shares of its duration. */
const drainAtShare = 0.3;
const killPlatformAtShare = 0.4;
const stopAtShare = 0.5;
const progressMilliseconds = 1000;
const callsTimeoutMilliseconds = 15_000;
const stopTimeoutMilliseconds = 30_000;

type Step = {readonly atShare: number; readonly run: () => Promise<void>};

/** One run on a fleet whose callers have started. */
export class DemoRun {
	private readonly _fleet: DemoFleet;
	private readonly _options: DemoOptions;
	private readonly _startedAt = performance.now();
	private readonly _steps: Step[];
	private _stopping: Promise<void> | undefined;

	constructor(fleet: DemoFleet, options: DemoOptions) {
		this._fleet = fleet;
		this._options = options;
		this._steps = [
			{atShare: drainAtShare, run: async () => this._startDraining()},
			{atShare: stopAtShare, run: async () => this._stopDaemon()},
		];
		if (options.killsPlatform) {
			this._steps.push({atShare: killPlatformAtShare, run: async () => this._killPlatform()});
		}
	}

	/** Runs all steps and prints the report. Resolves with true if no call was wrong, lost or run twice. */
	async run(): Promise<boolean> {
		while (this._elapsedShare() < 1) {
			await delay(Math.min(progressMilliseconds, Math.max(1, (1 - this._elapsedShare()) * this._options.seconds * 1000)));
			await this._runDueSteps();
			await this._printProgress();
		}

		await this._runDueSteps();
		await this._finishCalls();
		await this._stopping;
		return this._report();
	}

	private _elapsedShare(): number {
		return (performance.now() - this._startedAt) / (this._options.seconds * 1000);
	}

	private async _runDueSteps(): Promise<void> {
		const share = this._elapsedShare();
		for (const step of this._steps.filter(({atShare}) => atShare <= share)) {
			this._steps.splice(this._steps.indexOf(step), 1);
			await step.run();
		}
	}

	private get _drainingServer(): DemoBackendServer {
		return this._fleet.backendServers[0]!;
	}

	private async _startDraining(): Promise<void> {
		this._options.print(`backend server ${this._drainingServer.resource.name} starts to drain`);
		await standInClient.orderBackendServer(this._drainingServer.port, {isDraining: true});
	}

	private async _killPlatform(): Promise<void> {
		const before = await this._callsSoFar();
		this._fleet.killPlatform();
		this._options.print(`killed the platform's service after ${before} calls`);
	}

	/** Starts the planned stop of a daemon, which lasts as long as callers may cache its address. Calls continue meanwhile. */
	private async _stopDaemon(): Promise<void> {
		const vm = this._fleet.vms.at(-1)!;
		this._options.print(`stopping ${vm.plan.name}`);
		const since = performance.now();
		this._stopping = (async () => {
			const code = await vm.program.stop(stopTimeoutMilliseconds);
			const seconds = ((performance.now() - since) / 1000).toFixed(1);
			this._options.print(code === undefined ? `${vm.plan.name} did not stop in time and was killed` : `${vm.plan.name} exited with code ${code} after ${seconds} s`);
		})();
	}

	private async _reports(): Promise<readonly CallerReport[]> {
		return Promise.all(this._fleet.callers.map(async caller => standInClient.callerReport(caller.port)));
	}

	private async _callsSoFar(): Promise<number> {
		const reports = await this._reports();
		return reports.reduce((sum, report) => sum + report.calls, 0);
	}

	private async _printProgress(): Promise<void> {
		const reports = await this._reports();
		const sum = (pick: (report: CallerReport) => number): number => reports.reduce((total, report) => total + pick(report), 0);
		const seconds = Math.min(this._options.seconds, (performance.now() - this._startedAt) / 1000).toFixed(0);
		const calls = `${sum(report => report.calls)} calls, ${sum(report => report.right)} correct`;
		const others = `${sum(report => report.refused)} not run, ${sum(report => report.inFlight)} in flight`;
		this._options.print(`${seconds}/${this._options.seconds} s: ${calls}, ${others}`);
	}

	private async _finishCalls(): Promise<void> {
		await Promise.all(this._fleet.callers.map(async caller => standInClient.stopCaller(caller.port)));
		const deadline = performance.now() + callsTimeoutMilliseconds;
		while (performance.now() < deadline) {
			const reports = await this._reports();
			if (reports.every(report => report.inFlight === 0)) {
				return;
			}

			await delay(progressMilliseconds / 10);
		}
	}

	private async _report(): Promise<boolean> {
		const seconds = (performance.now() - this._startedAt) / 1000;
		const reports = await this._reports();
		const counts = await Promise.all(this._fleet.backendServers.map(async server => standInClient.backendServerCounts(server.port)));
		const records = await Promise.all(this._fleet.backendServers.map(async server => standInClient.calls(server.port)));
		const figures = this._fleet.services.map((service): ServiceFigures => {
			const indices = this._fleet.backendServers.flatMap(({resource}, index) => resource.service === service.name ? [index] : []);
			return {
				service,
				report: reports.find(report => report.service === service.name)!,
				backendServerCount: indices.length,
				measured: indices.reduce((sum, index) => sum + counts[index]!.measured, 0),
				seconds,
			};
		});
		const verdict = checkCalls(reports, records.flat());
		this._options.print(`\n${serviceTable(figures)}\n`);
		this._printCallsAfterDrain(records[0]!);
		this._printFindings(verdict);
		this._options.print(verdictLine(verdict));
		return verdict.wrong === 0 && verdict.lost === 0 && verdict.runTwice === 0;
	}

	private _printCallsAfterDrain(records: readonly CallRecord[]): void {
		const delays = records.flatMap(record => record.millisecondsIntoDrain ?? []);
		this._options.print(delays.length === 0
			? `${this._drainingServer.resource.name} got no new call after the start of its drain`
			: `${this._drainingServer.resource.name} got ${delays.length} new calls after the start of its drain, the last one after ${Math.max(...delays).toFixed(0)} ms`);
	}

	private _printFindings(verdict: Verdict): void {
		for (const finding of verdict.findings) {
			this._options.print(`finding: ${finding}`);
		}

		if (verdict.findings.length > 0) {
			this._options.print(this._fleet.daemonErrorLines());
		}
	}
}
