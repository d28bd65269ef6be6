/** What this VM knows of one backend server. */
import {type BackendServer} from '../model/resources.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type BackendServerIdentity, type LoadReport} from './types.ts';

/** How late the words of a process that has gone may come in: longer than any way through the fleet. */
const lateWordMilliseconds: Milliseconds = 1000;

/** Signs of leaving older than so many restarts are no longer on their way. */
const pastInstanceLimit = 4;

/** Knowledge of one backend server, kept across changes of its declared fields. */
export class BackendServerState {
	/** Attempts of this VM that have neither ended nor been given up. */
	inFlight = 0;
	report: LoadReport | undefined;
	reportedAt: Instant = 0;
	/** It, or an operator, has said that it leaves. */
	isLeavingByReport = false;
	private _leavingInstance: string | undefined;
	private _leavingSince: Instant = 0;
	/** Processes heard of before the present one, the latest last: late signs name them. */
	private readonly _pastInstances: string[] = [];
	readonly identity: BackendServerIdentity;
	declared: BackendServer;

	constructor(identity: BackendServerIdentity, declared: BackendServer) {
		this.identity = identity;
		this.declared = declared;
	}

	get isLeaving(): boolean {
		return this.declared.isLeaving || this.isLeavingByReport;
	}

	/** Takes a sign of leaving; one of an earlier process under this identity says nothing of the present one. */
	takeLeaving(instance: string | undefined, now: Instant): void {
		// A process not heard of before is taken for a newer one: taken for an older one, it would get
		// work while it leaves.
		if (instance === undefined || !this._pastInstances.includes(instance)) {
			this._leave(instance ?? this.report?.instance, now);
		}
	}

	/** Takes in a report made at `madeAt`; an older one than the present one is dropped. */
	takeReport(report: LoadReport, madeAt: Instant): void {
		if (this.report !== undefined && madeAt < this.reportedAt) {
			return;
		}

		if (report.isLeaving) {
			this.takeLeaving(report.instance, madeAt);
		} else if (this.isLeavingByReport && this._isReturned(report.instance, madeAt)) {
			this.isLeavingByReport = false;
			this._pastInstances.push(this._leavingInstance ?? '');
		}

		this._rememberPast(report.instance);
		this.report = report;
		this.reportedAt = madeAt;
	}

	private _leave(instance: string | undefined, now: Instant): void {
		this.isLeavingByReport = true;
		this._leavingInstance = instance;
		this._leavingSince = now;
	}

	/**
	 * Another process answers than the one that left. One known before the sign may be its forerunner, whose
	 * last words come late; only an answer well after the sign shows that it is there now.
	 */
	private _isReturned(instance: string | undefined, madeAt: Instant): boolean {
		if (instance === undefined || instance === this._leavingInstance || this._pastInstances.includes(instance)) {
			return false;
		}

		return instance !== this.report?.instance || madeAt >= this._leavingSince + lateWordMilliseconds;
	}

	private _rememberPast(present: string | undefined): void {
		const former = this.report?.instance;
		if (former !== undefined && former !== present) {
			this._pastInstances.push(former);
			this._pastInstances.splice(0, this._pastInstances.length - pastInstanceLimit);
		}
	}
}
