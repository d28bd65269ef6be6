/** Runs a program of this package as a child process, and stops it by its process id. */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {failure, type Failure} from '../common/errors/failure.ts';
import {Disposable, toDisposable} from '../common/lifecycle/disposable.ts';
import {Emitter} from '../common/lifecycle/emitter.ts';
import {type ModuleFiles, ownFiles, packageRoot} from './program-files.ts';

/** Why a program could not be started. */
export type ProgramFailure = Failure<'not-started'>;

/** The line that a stand-in prints once it listens. `ports` is present for a group of backend servers. */
const readySchema = z.object({listening: z.int(), ports: z.array(z.int()).optional()});
export type ReadyLine = z.infer<typeof readySchema>;

const maxErrorLines = 20;
const startTimeoutMilliseconds = 30_000;

/** The program to run and its options. */
export type ProgramSettings = {
	/** Path without file extension, such as `src/stand-ins/platform/main`. */
	readonly program: string;
	readonly parameters: readonly string[];
	/** Paths of modules of this package that are loaded before the program. */
	readonly preloads?: readonly string[];
	/** Runs the sources or the built files; by default the same as the current process. */
	readonly files?: ModuleFiles;
	/** Options for Node, such as `--cpu-prof`. */
	readonly nodeOptions?: readonly string[];
};

/** The process starts at construction. Disposal kills it if it still runs. */
export class ChildProgram extends Disposable {
	private readonly _child: ChildProcess;
	private readonly _errorLines: string[] = [];
	private readonly _onErrorLine = this._register(new Emitter<string>());
	private readonly _ready: Promise<Result<ReadyLine, ProgramFailure>>;
	private readonly _exit: Promise<number | undefined>;

	/** Fires for each line that the program writes to standard error. */
	readonly onErrorLine = this._onErrorLine.event;

	constructor(settings: ProgramSettings) {
		super();
		const {loader, file} = settings.files ?? ownFiles;
		const preloaded = (settings.preloads ?? []).map(module => `--import=${file(module)}`);
		// The TypeScript loader comes first, because a module that another option imports may be TypeScript.
		this._child = spawn(process.execPath, [...loader, ...preloaded, ...(settings.nodeOptions ?? []), file(settings.program), ...settings.parameters], {
			cwd: packageRoot,
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		this._register(toDisposable(() => {
			this._child.kill('SIGKILL');
		}));
		this._exit = this._waitForExit();
		this._ready = this._waitForReady(settings.program);
		this._collectErrorLines();
	}

	/** Process id; 0 if the process could not be spawned. */
	get pid(): number {
		return this._child.pid ?? 0;
	}

	/** Exit code; undefined while the process runs or if a signal ended it. */
	get exitCode(): number | undefined {
		return this._child.exitCode ?? undefined;
	}

	/** True until the process has exited or a signal has ended it. */
	get isRunning(): boolean {
		return this._child.exitCode === null && this._child.signalCode === null;
	}

	/** The last lines that the program wrote to standard error. */
	get lastErrorLines(): string {
		return this._errorLines.join('\n');
	}

	/** Resolves with the ready line, or with a failure if the program exits or prints none in time. */
	async ready(): Promise<Result<ReadyLine, ProgramFailure>> {
		return this._ready;
	}

	/** Sends SIGTERM, and SIGKILL after the time-out. Resolves with the exit code; undefined if a signal ended the process. */
	async stop(timeoutMilliseconds: number): Promise<number | undefined> {
		this._child.kill('SIGTERM');
		const timer = setTimeout(() => {
			this._child.kill('SIGKILL');
		}, timeoutMilliseconds);
		const code = await this._exit;
		clearTimeout(timer);
		return code;
	}

	/** Sends the process a signal. */
	signal(name: NodeJS.Signals): void {
		this._child.kill(name);
	}

	/** Kills the process at once, as a crash of its VM would. */
	kill(): void {
		this._child.kill('SIGKILL');
	}

	private async _waitForExit(): Promise<number | undefined> {
		if (this._child.exitCode === null) {
			await once(this._child, 'exit');
		}

		return this._child.exitCode ?? undefined;
	}

	private async _waitForReady(program: string): Promise<Result<ReadyLine, ProgramFailure>> {
		return new Promise(resolve => {
			const fail = (reason: string): void => {
				resolve(err(failure('not-started', `${program}: ${reason}: ${this.lastErrorLines}`)));
			};

			const timer = setTimeout(fail, startTimeoutMilliseconds, 'no ready line within the time limit');
			this._child.once('exit', code => {
				fail(`exited with code ${String(code)}`);
			});
			createInterface({input: this._child.stdout!}).on('line', line => {
				const ready = line.startsWith('{"listening"') ? readySchema.safeParse(JSON.parse(line)) : undefined;
				if (ready?.success === true) {
					clearTimeout(timer);
					resolve(ok(ready.data));
				}
			});
			this._register(toDisposable(() => {
				clearTimeout(timer);
			}));
		});
	}

	private _collectErrorLines(): void {
		createInterface({input: this._child.stderr!}).on('line', line => {
			this._onErrorLine.fire(line);
			this._errorLines.push(line);
			if (this._errorLines.length > maxErrorLines) {
				this._errorLines.shift();
			}
		});
	}
}
