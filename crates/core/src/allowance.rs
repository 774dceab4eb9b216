//! Allowances of accounts over all hosts: base shares and loans.
