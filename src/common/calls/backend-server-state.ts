/** What this VM knows of one backend server. */
import {type BackendServer} from '../model/resources.ts';
import {type Instant} from '../model/units.ts';
import {type BackendServerIdentity, type LoadReport} from './types.ts';

/** Knowledge of one backend server, kept across changes of its declared fields. */
export class BackendServerState {
	/** Attempts of this VM that have neither ended nor been given up. */
	inFlight = 0;
	report: LoadReport | undefined;
	reportedAt: Instant = 0;
	/** It, or an operator, has said that it leaves. */
	isLeavingByReport = false;
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
	takeLeaving(instance: string | undefined): void {
		const present = this.report?.instance;
		if (instance === undefined || present === undefined || instance === present) {
			this.isLeavingByReport = true;
		}
	}

	/** Takes in a report made at `madeAt`; an older one than the present one is dropped. */
	takeReport(report: LoadReport, madeAt: Instant): void {
		if (this.report !== undefined && madeAt < this.reportedAt) {
			return;
		}

		// A returned backend server has a new instance: the old one's leaving does not bind it.
		const isReturned = report.instance !== undefined && report.instance !== this.report?.instance;
		this.isLeavingByReport = report.isLeaving || (this.isLeavingByReport && !isReturned);
		this.report = report;
		this.reportedAt = madeAt;
	}
}
