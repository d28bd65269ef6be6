/** Simulated time. Tasks run in the order of their due times; tasks with the same due time run in the order of their creation. */

type Task = {readonly at: number; readonly run: () => void};

/** More tasks than this within one instant are treated as a busy loop. */
const maxTasksPerInstant = 20_000;

export class Timeline {
	private readonly _tasks: Task[] = [];
	private _now = 0;
	/** Start of the current instant; tasks up to 0.01 ms later count as part of it. */
	private _instantStart = 0;

	/** Milliseconds since the start. This is the clock of the recorded history. */
	get now(): number {
		return this._now;
	}

	after(milliseconds: number, run: () => void): void {
		const at = this._now + Math.max(0, milliseconds);
		const position = this._tasks.findLastIndex(task => task.at <= at);
		this._tasks.splice(position + 1, 0, {at, run});
	}

	/** Advances the time and runs all tasks that become due. Stops at a busy loop and returns false. */
	advance(milliseconds: number): boolean {
		const until = this._now + milliseconds;
		let tasksAtInstant = 0;
		for (let task = this._tasks[0]; task !== undefined && task.at <= until; task = this._tasks[0]) {
			tasksAtInstant = task.at > this._instantStart + 0.01 ? 0 : tasksAtInstant + 1;
			if (tasksAtInstant > maxTasksPerInstant) {
				return false;
			}

			this._tasks.shift();
			this._now = task.at;
			this._instantStart = tasksAtInstant === 0 ? task.at : this._instantStart;
			task.run();
		}

		this._now = until;
		return true;
	}
}
