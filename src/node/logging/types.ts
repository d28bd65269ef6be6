/** Interfaces of the log. */
import {type LogLevel} from '../../common/settings/settings.ts';

/**
 * Fields of a log line. Only primitive values are allowed, so that bodies, header lists and settings objects are never
 * logged as a whole.
 */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** Writes log lines. */
export type Logger = {
	trace(message: string, fields?: LogFields): void;
	debug(message: string, fields?: LogFields): void;
	info(message: string, fields?: LogFields): void;
	warn(message: string, fields?: LogFields): void;
	error(message: string, fields?: LogFields): void;
	/** Returns a logger that adds these fields to each of its lines, such as the trace id of a call. */
	with(fields: LogFields): Logger;
	/** Whether lines of this level are written. Checked before fields are collected where this would slow down calls. */
	isEnabled(level: LogLevel): boolean;
};

/** Reads and changes the log level at run time. */
export type LogControl = {
	level(): LogLevel;
	setLevel(level: LogLevel): void;
};
