/**
 * Shared by the tests of a store that is restored from a backup: a fleet, backend servers and an operator who write
 * again what the store has lost, and checks of every VM while time passes.
 */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {FleetModel, type ModelProcess} from './fleet-model.test.ts';

const heartbeatMilliseconds: Milliseconds = 1500;
const convergeMilliseconds: Milliseconds = 2000;

/** A VM that has started this long ago knows the whole fleet. Versions are due this long after the store's return. */
const recoveryMilliseconds: Milliseconds = 3000;

const stepMilliseconds: Milliseconds = 50;
const serverCount = 34;

export type Restore = {
	/** Time for which the store does not respond before it is back. */
	readonly awayMilliseconds: Milliseconds;
	/** Time since the backup when the store stops responding. */
	readonly backupAgeMilliseconds: Milliseconds;
	/** Time from the return until the operator has written again what was lost. */
	readonly rewriteMilliseconds: Milliseconds;
	/** The backup has no entries with this prefix. */
	readonly lacksPrefix?: string;
};

type Version = {readonly version: number; readonly confirmedAt: Instant};

/** Entries of operators and backend servers as their owners want them; undefined = removed. */
type OwnedValue = {readonly value: string | undefined; readonly writtenAt: Instant};

export class RestoreRun {
	readonly model: FleetModel;
	readonly violations = new Set<string>();
	private readonly _servers = new Map<string, OwnedValue>();
	private readonly _operatorEntries = new Map<string, OwnedValue>();
	private readonly _versions: Version[] = [];
	private readonly _lastVersions = new Map<string, number>();
	/** What each VM has once known, as `VM member` or `VM member left`. */
	private readonly _seen = new Set<string>();
	private readonly _frozenUntil = new Map<string, Instant>();
	private readonly _isRenewalChange: boolean;
	private _restoredAt: Instant = -Infinity;
	private _isAway = false;
	/** Set once the fleet has settled. */
	private readonly _isChecking: boolean;

	/**
	 * `checksMembers` = members must stay known at any time; not with lost VMs, which may take entries with them.
	 * `isRenewalChange` = each heartbeat of a backend server takes a revision; otherwise only a changed entry does.
	 */
	constructor(seed: number, {vmCount = 16, isRenewalChange = seed % 2 === 0, checksMembers = true} = {}) {
		this.model = new FleetModel({
			vmCount, serverCount: 0, seed, convergeMilliseconds,
		});
		this.model.startAll();
		this.model.store.isSilentTo = () => this._isAway;
		this._isRenewalChange = isRenewalChange;
		for (let server = 0; server < serverCount; server++) {
			this.addServer(`s${server}`);
		}

		this.writeVersion();
		this.advance(8000 + (this.model.random.next() * 2000));
		this._isChecking = checksMembers;
	}

	/** A backend server starts, and renews its entry from now on. */
	addServer(name: string): void {
		this.writeServer(name, 'ready');
		this._scheduleHeartbeat(name);
	}

	/** A backend server changes its entry; undefined = it leaves and removes the entry. */
	writeServer(name: string, state: 'ready' | 'leaving' | undefined): void {
		const key = `servers/${name}`;
		const value = state === undefined ? undefined : `orders 10.9.0.${name.slice(1)} ${state} 1000`;
		this._servers.set(key, {value, writtenAt: this.model.timeline.now});
		this._write(key, value);
	}

	/** The operator writes the next version. */
	writeVersion(): void {
		const version = (this._versions.at(-1)?.version ?? 0) + 1;
		this._versions.push({version, confirmedAt: this.model.timeline.now});
		this._writeAsOperator('configuration', String(version));
	}

	/** A VM is paused, and is checked again some time after it has woken. */
	freeze(process: ModelProcess, milliseconds: Milliseconds): void {
		process.isFrozen = true;
		this._frozenUntil.set(process.identity, Infinity);
		this.model.timeline.after(milliseconds, () => {
			this._frozenUntil.set(process.identity, this.model.timeline.now);
			process.wake();
		});
	}

	/** The store drops its history of changes. */
	loseHistory(): void {
		this.model.store.dropHistory();
	}

	setEvacuated(dataCentre: string, isEvacuated: boolean): void {
		this._writeAsOperator(`evacuations/${dataCentre}`, isEvacuated ? '{}' : undefined);
	}

	/**
	 * The store takes a backup, loses the writes of `duringLoss` and all others until it stops responding, and comes
	 * back from the backup.
	 */
	restore({awayMilliseconds, backupAgeMilliseconds, rewriteMilliseconds, lacksPrefix}: Restore, duringLoss: () => void = () => undefined): void {
		const {store, timeline} = this.model;
		const {entries, ...rest} = store.backUp();
		const backup = {...rest, entries: new Map([...entries].filter(([key]) => lacksPrefix === undefined || !key.startsWith(lacksPrefix)))};
		const backupAt = timeline.now;
		this.advance(backupAgeMilliseconds / 2);
		duringLoss();
		this.advance(backupAgeMilliseconds / 2);
		this._isAway = true;
		this.advance(awayMilliseconds);
		this._isAway = false;
		store.restore(backup);
		this._restoredAt = timeline.now;
		timeline.after(rewriteMilliseconds, () => {
			this._rewriteLost(backupAt);
		});
	}

	/** What VMs know differently from the owners of the entries, for a fleet that has settled. */
	differences(): string[] {
		return this.model.running.flatMap(process => [
			...this._missingServers(process).map(name => `${process.identity} lacks ${name}`),
			...this._leftServers(process).map(name => `${process.identity} still uses ${name}`),
			...[...this._operatorEntries].filter(([key, {value}]) => key.startsWith('evacuations/') && process.evacuated.has(key.slice('evacuations/'.length)) !== (value !== undefined))
				.map(([key]) => `${process.identity} differs in ${key}`),
			...(process.fleet.knownCallAddresses().length === this.model.running.length ? [] : [`${process.identity} names ${process.fleet.knownCallAddresses().length} VMs`]),
		]);
	}

	advance(milliseconds: Milliseconds): void {
		const {timeline} = this.model;
		for (const end = timeline.now + milliseconds; timeline.now < end;) {
			timeline.advance(Math.min(stepMilliseconds, end - timeline.now));
			for (const process of this.model.running) {
				this._checkVersion(process);
				if (this._isChecking && process.stage === 'serving' && timeline.now - process.startedAt > recoveryMilliseconds) {
					this._checkMembers(process);
				}
			}
		}
	}

	/** What is confirmed is due once the store has been back for a while, and a process never goes back. */
	private _checkVersion(process: ModelProcess): void {
		const {now} = this.model.timeline;
		const due = this._versions.findLast(({confirmedAt}) => now > Math.max(confirmedAt + convergeMilliseconds, this._restoredAt + recoveryMilliseconds))?.version ?? 0;
		if (process.version < (this._lastVersions.get(process.identity) ?? 0)) {
			this.violations.add(`${process.identity} went back to version ${process.version}`);
		}

		this._lastVersions.set(process.identity, process.version);
		const undisturbedSince = Math.max(process.startedAt, this._frozenUntil.get(process.identity) ?? 0);
		if (process.stage === 'serving' && !this._isAway && now - undisturbedSince > recoveryMilliseconds && process.version < due) {
			this.violations.add(`${process.identity} is behind version ${due}`);
		}
	}

	/**
	 * What a VM knows of a member that lives it must keep, and what it knows to have left must not return. All VMs know
	 * a member soon after it has joined and the store is back.
	 */
	private _checkMembers(process: ModelProcess): void {
		const {now} = this.model.timeline;
		const named = new Set(process.fleet.knownCallAddresses());
		for (const {address, identity, stage, startedAt} of this.model.running) {
			if (stage === 'serving') {
				this._checkKnown(process, identity, {isKnown: named.has(address), isDue: !this._isAway && now - Math.max(startedAt, this._restoredAt) > recoveryMilliseconds});
			}
		}

		for (const [key, {value, writtenAt}] of this._servers) {
			const name = key.slice('servers/'.length);
			const isUsable = process.usableServers.has(name);
			if (value?.includes('ready') === true) {
				this._checkKnown(process, name, {isKnown: isUsable, isDue: !this._isAway && now - Math.max(writtenAt, this._restoredAt) > recoveryMilliseconds});
			} else if (!isUsable) {
				this._seen.add(`${process.identity} ${name} left`);
			} else if (this._seen.has(`${process.identity} ${name} left`)) {
				this.violations.add(`${process.identity} uses ${name} again, which has left`);
			}
		}
	}

	private _checkKnown({identity}: ModelProcess, name: string, {isKnown, isDue}: {readonly isKnown: boolean; readonly isDue: boolean}): void {
		if (isKnown) {
			this._seen.add(`${identity} ${name}`);
		} else if (isDue || this._seen.has(`${identity} ${name}`)) {
			this.violations.add(`${identity} misses ${name}`);
		}
	}

	/** Backend servers that accept calls and that this VM does not use. */
	private _missingServers({usableServers}: ModelProcess): string[] {
		return [...this._servers].filter(([, {value}]) => value?.includes('ready') === true)
			.map(([key]) => key.slice('servers/'.length)).filter(name => !usableServers.has(name));
	}

	/** Backend servers that have left and that this VM uses. */
	private _leftServers({usableServers}: ModelProcess): string[] {
		return [...usableServers].filter(name => this._servers.get(`servers/${name}`)?.value?.includes('ready') !== true);
	}

	private _writeAsOperator(key: string, value: string | undefined): void {
		this._operatorEntries.set(key, {value, writtenAt: this.model.timeline.now});
		this._write(key, value);
	}

	private _write(key: string, value: string | undefined): void {
		if (this._isAway) {
			return;
		}

		if (value === undefined) {
			this.model.store.remove(key);
		} else {
			this.model.store.put(key, value);
		}
	}

	private _scheduleHeartbeat(name: string): void {
		const key = `servers/${name}`;
		const beat = () => {
			const value = this._servers.get(key)?.value;
			if (value !== undefined && (this._isRenewalChange || this.model.store.valueOf(key) !== value)) {
				this._write(key, value);
			}

			this.model.timeline.after(heartbeatMilliseconds, beat);
		};

		this.model.timeline.after(this.model.random.next() * heartbeatMilliseconds, beat);
	}

	/** The operator, and backend servers that have left, repeat their writes since the backup. */
	private _rewriteLost(backupAt: Instant): void {
		for (const [key, {value, writtenAt}] of [...this._operatorEntries, ...this._servers]) {
			if (writtenAt >= backupAt && writtenAt <= this._restoredAt && this.model.store.valueOf(key) !== value) {
				this._write(key, value);
			}
		}
	}
}
