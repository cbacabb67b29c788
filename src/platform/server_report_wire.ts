/** Path by which model servers tell how they are doing, without a slot of their own. */
export const SERVER_REPORT_PATH = "/-/report";
