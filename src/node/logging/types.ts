/** Logging as the rest of the code sees it. */
import {type LogLevel} from '../../common/settings/settings.ts';

/**
 * Fields of a log line. Only plain values fit, so that no body, header list or settings object can
 * slip into a log whole.
 */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** Writes log lines. */
export type Logger = {
	trace(message: string, fields?: LogFields): void;
	debug(message: string, fields?: LogFields): void;
	info(message: string, fields?: LogFields): void;
	warn(message: string, fields?: LogFields): void;
	error(message: string, fields?: LogFields): void;
	/** A logger that adds these fields to each of its lines, such as the trace id of a call. */
	with(fields: LogFields): Logger;
	/** Whether lines of this level are written: asked before fields are gathered on a path of calls. */
	isEnabled(level: LogLevel): boolean;
};

/** Reads and changes the level while the process runs. */
export type LogControl = {
	level(): LogLevel;
	setLevel(level: LogLevel): void;
};
